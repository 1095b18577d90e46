/* A model of src/config_versions/version_tracker.h: two resource types, where contracts need members of at least
 * their own generation, and a control service that sends responses in any order and may lose the stream at any time.
 * Properties:
 *   valid       the running versions were accepted, and those of both types are valid together (assert)
 *   ordered     no older generation replaces a newer one without a rollback that names the newest (assert)
 *   answered    each response is answered exactly once, unless its stream is lost first (assert and ltl)
 *   reconnects  after the loss of a stream the tracker opens a stream again (ltl)
 * Run: spin -run -noclaim model/versions.pml for the assertions, and spin -run -ltl NAME -a model/versions.pml for each
 * ltl property NAME. CI (.ci/model) does so, and requires that models with a fault violate a property.
 * tests/version_tracker_history_test.cpp checks the same properties of the code itself. */
#define MAX_GENERATION 3 /* generations 1..3; contracts of generation g need members of generation g or later */
#define NONE 0
#define CONTRACTS 0
#define MEMBERS 1

byte running[2];      /* running generation of each type; 0: the content of the operators' file */
byte newest[2];       /* highest generation of each type that was ever accepted */
byte pending[2];      /* generation of the response that waits for the other type, or NONE */
bool is_rollback[2];  /* whether the pending response is a rollback */
bool streaming = false;
byte unanswered[2];   /* number of unanswered responses of this stream */
bool stream_lost = false;

#define VALID(contracts, members) ((contracts) <= (members))

inline answer(t) { assert(unanswered[t] > 0); unanswered[t]-- }

inline drop_pending(t) { pending[t] = NONE; is_rollback[t] = false }

inline accept(t) {
  assert(pending[t] >= newest[t] || is_rollback[t] || pending[t] == running[t]);
  running[t] = pending[t];
  if :: pending[t] > newest[t] -> newest[t] = pending[t] :: else -> skip fi;
  drop_pending(t);
  answer(t)
}

/* Accepts both pending responses if they are valid together, otherwise one that is valid. */
inline accept_pending() {
  if
  :: pending[CONTRACTS] != NONE && pending[MEMBERS] != NONE && VALID(pending[CONTRACTS], pending[MEMBERS]) ->
     accept(CONTRACTS); accept(MEMBERS)
  :: else ->
     if
     :: pending[CONTRACTS] != NONE && VALID(pending[CONTRACTS], running[MEMBERS]) -> accept(CONTRACTS)
     :: else ->
        if
        :: pending[MEMBERS] != NONE && VALID(running[CONTRACTS], pending[MEMBERS]) -> accept(MEMBERS)
        :: else -> skip
        fi
     fi
  fi
}

/* Receives a response of type t and the generation. A rollback names the generation rolled_back. */
inline receive_response(t, generation, rollback, rolled_back) {
  unanswered[t]++;
  if :: pending[t] != NONE -> drop_pending(t); answer(t) /* superseded: NACK */ :: else -> skip fi;
  if
  :: generation == running[t] -> answer(t) /* the generation runs already: ACK */
  :: generation != running[t] &&
     ((rollback && rolled_back >= newest[t]) || (!rollback && generation > newest[t])) ->
     pending[t] = generation; is_rollback[t] = rollback;
     accept_pending()
  :: else -> answer(t) /* NACK */
  fi
}

inline expire_pending(t) {
  if :: pending[t] != NONE -> drop_pending(t); answer(t) /* NACK */ :: else -> skip fi
}

active proctype tracker() {
  byte t; byte generation; byte rolled_back; bool rollback;
end:
  do
  :: !streaming -> d_step { streaming = true; stream_lost = false } /* the stream is opened in bounded time */
  :: streaming -> /* any response */
     select(t : 0 .. 1); select(generation : 1 .. MAX_GENERATION); select(rolled_back : 1 .. MAX_GENERATION);
     atomic {
       if :: rollback = true :: rollback = false fi;
       receive_response(t, generation, rollback, rolled_back);
       assert(VALID(running[CONTRACTS], running[MEMBERS]));
       t = 0; generation = 0; rolled_back = 0; rollback = false
     }
  :: streaming && (pending[CONTRACTS] != NONE || pending[MEMBERS] != NONE) -> atomic { /* the timeout has passed */
       expire_pending(CONTRACTS);
       expire_pending(MEMBERS);
       assert(unanswered[CONTRACTS] == 0 && unanswered[MEMBERS] == 0)
     }
  :: streaming -> d_step { /* the stream is lost, and pending responses with it */
       streaming = false; stream_lost = true;
       drop_pending(CONTRACTS); drop_pending(MEMBERS);
       unanswered[CONTRACTS] = 0; unanswered[MEMBERS] = 0
     }
  od
}

ltl reconnects { [] (stream_lost -> <> streaming) }
/* The only unanswered responses are pending ones: all others are answered at once. */
ltl answered {
  [] ((unanswered[CONTRACTS] == (pending[CONTRACTS] != NONE)) && (unanswered[MEMBERS] == (pending[MEMBERS] != NONE)))
}
