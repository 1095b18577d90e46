/* Leases, stalls and fencing of src/duties, as a model: one duty, two gateways that ask for it, a leader that is
 * deposed at any time and does not notice, and its successor. No time-out protects anything here: every step may take
 * any time. Clocks run alike (the drift is in the simulation). Checked (assert):
 *   lease   no two gateways may act at one time
 *   fence   what is done is never done under a token lower than one before
 * Run: spin -run model/duties.pml (CI does, and with each guard taken out). */
#define LEASE 2
#define MOST 3 /* ticks: a lease, and one more */
#define TOKENS 3

byte now = 0, led = 0;                   /* who leads indeed */
byte holder = 0, token = 1;              /* as the log has it */
bool believes[2];                        /* that it leads */
byte view_holder[2], view_token[2];
byte free_at[2];                         /* when the leader may grant anew */
bool asking[2]; byte sent[2];            /* an ask on its way */
bool heard[2]; byte heard_by[2], heard_at[2];
bool told[2]; byte told_token[2];        /* an answer on its way */
byte held[2], until[2];                  /* what the gateway goes by; token 0: nothing */
byte hand[2];                            /* it has looked at its clock, and is about to act */
byte highest = 0;                        /* at the receiver */

#define MAY(g) (held[g] != 0 && now < until[g])

proctype Clock() {
  do
  :: now < MOST -> now++
  :: else -> break
  od
}

proctype Election() {
  atomic {
    led = 1; believes[1] = true;
    view_holder[1] = holder; view_token[1] = token;
    free_at[1] = now + LEASE /* waits */
  }
}

#define SERVE(g) \
  :: atomic { believes[l] && asking[g] -> asking[g] = false; heard[g] = true; heard_by[g] = l; heard_at[g] = now } \
  :: atomic { heard[g] && heard_by[g] == l -> \
       heard[g] = false; \
       if \
       :: led == l /* a majority confirms */ -> \
          told[g] = true; \
          if \
          :: view_holder[l] == g -> \
             told_token[g] = view_token[l]; \
             if :: free_at[l] < heard_at[g] + LEASE -> free_at[l] = heard_at[g] + LEASE :: else -> skip fi \
          :: else -> told_token[g] = 0 \
          fi \
       :: else -> sent[g] = 0 \
       fi; \
       heard_at[g] = 0; heard_by[g] = 0 }

proctype Leader(byte l) {
end:
  do
  SERVE(0)
  SERVE(1)
  :: atomic { believes[l] && led == l && now >= free_at[l] && token < TOKENS ->
       token++; holder = 1 - view_holder[l];
       view_holder[l] = holder; view_token[l] = token; free_at[l] = now + LEASE }
  od
}

proctype Gateway(byte g) {
end:
  do
  :: atomic { !asking[g] && !heard[g] && !told[g] -> asking[g] = true; sent[g] = now }
  :: atomic { told[g] ->
       told[g] = false;
       held[g] = told_token[g];
       if :: held[g] -> until[g] = sent[g] + LEASE /* from the ask */ :: else -> skip fi;
       sent[g] = 0; told_token[g] = 0;
       assert(!(MAY(0) && MAY(1))) }
  :: atomic { MAY(g) && !hand[g] -> hand[g] = held[g] }
  :: atomic { hand[g] -> /* maybe much later: it was stopped */
       if
       :: hand[g] >= highest /* fenced */ -> assert(hand[g] >= highest); highest = hand[g]
       :: else -> skip
       fi;
       hand[g] = 0 }
  od
}

init {
  atomic {
    believes[0] = true; view_token[0] = 1;
    run Clock(); run Election(); run Leader(0); run Leader(1); run Gateway(0); run Gateway(1)
  }
}
