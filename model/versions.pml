/* The version machine of src/versions, as a model: two types that refer to each other (contracts need members of at
 * least their number), a service that offers anything in any order, loses the stream and comes back. Checked:
 *   whole     what runs was accepted, and its parts fit together (assert)
 *   forward   nothing older replaces newer without a rollback that names the newest (assert)
 *   answered  every offer of a stream that lasts is answered, once (assert, and ltl)
 *   comes_back after a loss the machine dials again (ltl)
 * Run: spin -run -ltl NAME model/versions.pml (CI does, for each). tests/versions_test.cpp walks the code itself. */
#define MOST 3 /* generations 1..MOST; content of generation g refers to, or brings, group g */
#define NONE 0

byte running[2];  /* generation of contracts [0] and members [1]; 0: the file's */
byte newest[2];
byte held[2];     /* generation that waits; NONE */
bool held_back[2];
bool streaming = false;
byte open[2];     /* offers of this stream not answered */
bool lost = false;

#define FITS(c, m) ((c) <= (m))

inline answer(t) { assert(open[t] > 0); open[t]--; }

inline settle() {
  /* the largest set that fits: both, then one */
  if
  :: held[0] != NONE && held[1] != NONE && FITS(held[0], held[1]) ->
     take(0); take(1)
  :: else ->
     if
     :: held[0] != NONE && FITS(held[0], running[1]) -> take(0)
     :: else ->
        if
        :: held[1] != NONE && FITS(running[0], held[1]) -> take(1)
        :: else -> skip
        fi
     fi
  fi
}

inline take(t) {
  assert(held[t] >= newest[t] || held_back[t] || held[t] == running[t]);
  running[t] = held[t];
  if :: held[t] > newest[t] -> newest[t] = held[t] :: else -> skip fi;
  held[t] = NONE; held_back[t] = false;
  answer(t)
}

/* g: generation; b: it rolls back generation r */
inline offer(t, g, b, r) {
  open[t]++;
  if :: held[t] != NONE -> held[t] = NONE; held_back[t] = false; answer(t) :: else -> skip fi;
  if
  :: g == running[t] -> answer(t) /* what runs: accepted */
  :: g != running[t] && ((b && r >= newest[t]) || (!b && g > newest[t])) ->
     held[t] = g; held_back[t] = b;
     settle()
  :: else -> answer(t) /* turned down */
  fi
}

active proctype machine() {
  byte t; byte g; byte r; bool b;
end:
  do
  :: !streaming -> d_step { streaming = true; lost = false } /* the dial, in bounded time */
  :: streaming -> /* an offer of any kind */
     select(t : 0 .. 1); select(g : 1 .. MOST); select(r : 1 .. MOST);
     atomic {
       if :: b = true :: b = false fi;
       offer(t, g, b, r);
       assert(FITS(running[0], running[1]));
       t = 0; g = 0; r = 0; b = false
     }
  :: streaming && (held[0] != NONE || held[1] != NONE) -> atomic { /* the hold is over */
       if :: held[0] != NONE -> held[0] = NONE; held_back[0] = false; answer(0) :: else -> skip fi;
       if :: held[1] != NONE -> held[1] = NONE; held_back[1] = false; answer(1) :: else -> skip fi;
       assert(open[0] == 0 && open[1] == 0)
     }
  :: streaming -> d_step { /* lost: what was held goes with the stream */
       streaming = false; lost = true;
       held[0] = NONE; held[1] = NONE; held_back[0] = false; held_back[1] = false;
       open[0] = 0; open[1] = 0
     }
  od
}

ltl comes_back { [] (lost -> <> streaming) }
/* an open offer is one that is held: everything else was answered at once */
ltl answered { [] ((open[0] == (held[0] != NONE)) && (open[1] == (held[1] != NONE))) }
