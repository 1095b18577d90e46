/* The lease service of src/leases as a model: one role, two gateways that request it, a leader that is deposed at any
 * time and does not notice, and its successor. Every step may take any time, as no timeout bounds it. All clocks run
 * at the same rate; the simulation in tests/fleet covers clock drift. Assertions check:
 *   mutual exclusion   no two gateways have a valid token at the same time
 *   fencing            no action is accepted under a token lower than one accepted before
 * Run: spin -run -noclaim -m200000 model/leases.pml. CI (.ci/model) does so, and requires that the assertions fail for
 * each variant without one of the protections. */
#define LEASE 2
#define LAST_TICK 3 /* one tick after a whole lease */
#define MAX_TOKEN 3

byte now = 0;
byte elected = 0;           /* the node that a majority regards as leader */
byte holder = 0, token = 1; /* the grant in the replicated log */

/* The state of each of the two lease managers */
bool thinks_it_leads[2];
byte table_holder[2], table_token[2];
byte lease_expires_at[2]; /* when the manager may grant the role again */

/* The state of each of the two gateways */
bool request_in_flight[2];
byte request_sent_at[2];
bool request_pending[2]; /* the request is received and not answered yet */
byte pending_at[2], request_received_at[2];
bool response_in_flight[2];
byte response_token[2];
byte held_token[2], held_until[2]; /* token 0: the role is not held */
byte action_token[2];              /* the token of an action whose lease was checked; 0: none */

byte fence_token = 0; /* the highest token that the receiver has accepted */

#define HAS_VALID_TOKEN(g) (held_token[g] != 0 && now < held_until[g])

proctype Clock() {
  do
  :: now < LAST_TICK -> now++
  :: else -> break
  od
}

proctype LeaderElection() {
  atomic {
    elected = 1;
    thinks_it_leads[1] = true;
    table_holder[1] = holder;
    table_token[1] = token;
    lease_expires_at[1] = now + LEASE /* waits until old leases have expired */
  }
}

#define SERVE_REQUEST(g) \
  :: atomic { thinks_it_leads[l] && request_in_flight[g] -> \
       request_in_flight[g] = false; \
       request_pending[g] = true; \
       pending_at[g] = l; \
       request_received_at[g] = now } \
  :: atomic { request_pending[g] && pending_at[g] == l -> \
       request_pending[g] = false; \
       if \
       :: elected == l /* a majority confirms */ -> \
          response_in_flight[g] = true; \
          if \
          :: table_holder[l] == g -> \
             response_token[g] = table_token[l]; \
             if \
             :: lease_expires_at[l] < request_received_at[g] + LEASE -> \
                lease_expires_at[l] = request_received_at[g] + LEASE \
             :: else -> skip \
             fi \
          :: else -> response_token[g] = 0 \
          fi \
       :: else -> request_sent_at[g] = 0 \
       fi; \
       request_received_at[g] = 0; \
       pending_at[g] = 0 }

proctype LeaseManager(byte l) {
end:
  do
  SERVE_REQUEST(0)
  SERVE_REQUEST(1)
  :: atomic { thinks_it_leads[l] && elected == l && now >= lease_expires_at[l] && token < MAX_TOKEN ->
       token++;
       holder = 1 - table_holder[l];
       table_holder[l] = holder;
       table_token[l] = token;
       lease_expires_at[l] = now + LEASE }
  od
}

proctype LeaseClient(byte g) {
end:
  do
  :: atomic { !request_in_flight[g] && !request_pending[g] && !response_in_flight[g] ->
       request_in_flight[g] = true;
       request_sent_at[g] = now }
  :: atomic { response_in_flight[g] ->
       response_in_flight[g] = false;
       held_token[g] = response_token[g];
       if
       :: held_token[g] -> held_until[g] = request_sent_at[g] + LEASE /* counted from the request */
       :: else -> skip
       fi;
       request_sent_at[g] = 0;
       response_token[g] = 0;
       assert(!(HAS_VALID_TOKEN(0) && HAS_VALID_TOKEN(1))) }
  :: atomic { HAS_VALID_TOKEN(g) && !action_token[g] -> action_token[g] = held_token[g] }
  :: atomic { action_token[g] -> /* possibly much later, if the process was suspended */
       if
       :: action_token[g] >= fence_token /* fenced */ ->
          assert(action_token[g] >= fence_token);
          fence_token = action_token[g]
       :: else -> skip
       fi;
       action_token[g] = 0 }
  od
}

init {
  atomic {
    thinks_it_leads[0] = true;
    table_token[0] = 1;
    run Clock();
    run LeaderElection();
    run LeaseManager(0);
    run LeaseManager(1);
    run LeaseClient(0);
    run LeaseClient(1)
  }
}
