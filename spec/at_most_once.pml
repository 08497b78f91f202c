/* Model of the protocol for a request that must run at most once.
 *
 * There is one request. Two owners may run it, in the order in which the
 * published configuration lists them, and two entries may submit it. The caller
 * may send the request several times, each time through either entry.
 *
 * The environment is as hostile as the real one: messages on a stream are
 * delayed or lost, sidecars crash and restart without their state, targets are
 * marked as leaving, and streams break while messages are in transit. No step
 * is forced, so an entry or a sidecar can pause at any point.
 *
 * Time is a counter. The caller sends only until HORIZON, and a grant expires a
 * bounded time after it was issued.
 *
 * Each NO_... define removes one safeguard; the search must then find a
 * violated assertion.
 */

#define OWNERS 2
#define ENTRIES 2
#define END_TIME 2    /* the last time of the model */
#define HORIZON 0     /* the caller sends at times 0 to HORIZON */
#define GRANT 1       /* a grant is valid from its issue until GRANT later */
#define DEADLINE 0    /* how long an entry works on a call */
/* Counted in steps, no run starts later than HORIZON + DEADLINE + GRANT. */
#define QUARANTINE (HORIZON + DEADLINE + GRANT + 1)
#define MAX_CRASHES 1
#define MAX_CALLS 2
#define MAX_EPOCH 1

#ifdef NO_LEDGER
#define HAS_LEDGER false
#else
#define HAS_LEDGER true
#endif
#ifdef NO_RENOUNCING
#define HAS_RENOUNCING false
#else
#define HAS_RENOUNCING true
#endif
#ifdef NO_INCARNATION
#define HAS_INCARNATION false
#else
#define HAS_INCARNATION true
#endif
#ifdef NO_QUARANTINE
#define HAS_QUARANTINE false
#else
#define HAS_QUARANTINE true
#endif
#ifdef NO_LEAVING
#define HAS_LEAVING false
#else
#define HAS_LEAVING true
#endif
#ifdef NO_GRANTS
#define HAS_GRANTS false
#else
#define HAS_GRANTS true
#endif

/* The entry of the request in the ledger of a sidecar. */
mtype = { UNKNOWN, RAN, RENOUNCED };

byte now = 0;
byte run_count = 0;              /* runs of the request at any target */
byte crash_count = 0;
bool was_leaving = false;        /* owner 0 was marked as leaving once */
byte call_count = 0;
bool started_run[MAX_CALLS];     /* calls that started a run */
bool answered_not_run[MAX_CALLS];  /* calls answered "not run" */

typedef Sidecar {
  byte incarnation;
  byte started_at;               /* start time of this incarnation */
  mtype ledger;
  bool leaving;
  byte epoch[ENTRIES];           /* newest known stream of each entry */
};

Sidecar sidecar[OWNERS];

/* A submission in transit on a stream of an entry. */
typedef Message {
  bool is_in_transit;
  byte call;
  byte entry;
  byte epoch;                    /* of the stream that carries it */
  byte granted_at;               /* issue time of its grant */
  byte pinned_incarnation;       /* incarnation it is meant for */
  bool renounced;                /* the first owner renounced the request */
};

/* Two messages for each owner, so that one can overtake the other. */
Message message[4];

/* One time that the caller sends the request; an entry works on it. */
typedef Call {
  bool is_active;
  byte entry;
  byte owner;
  byte pinned_incarnation;       /* 0: no submission may still run */
  bool is_submitted;
  bool renounced;
  byte epoch;
};

Call call[MAX_CALLS];

/* The fields of finished messages and calls are reset, so that the search
 * recognizes equal states. */
inline reset_message(m)
{
  message[m].is_in_transit = false;
  message[m].call = 0;
  message[m].entry = 0;
  message[m].epoch = 0;
  message[m].granted_at = 0;
  message[m].pinned_incarnation = 0;
  message[m].renounced = false
}

inline reset_call(c)
{
  call[c].is_active = false;
  call[c].entry = 0;
  call[c].owner = 0;
  call[c].pinned_incarnation = 0;
  call[c].is_submitted = false;
  call[c].renounced = false;
  call[c].epoch = 0
}

/* A result reaches the entry only on the stream on which the call waits. */
#define IS_EXPECTED (call[c].is_submitted && call[c].owner == o && \
                     message[m].epoch == call[c].epoch)

#define IS_KNOWN ((HAS_LEDGER && sidecar[o].ledger == RAN) || \
                  (HAS_RENOUNCING && sidecar[o].ledger == RENOUNCED))

inline start_run(o, c)
{
  run_count++;
  started_run[c] = true;
  assert(run_count <= 1);                /* at most once */
  assert(!answered_not_run[c]);          /* "not run" remains true */
  assert(!sidecar[o].leaving);           /* a leaving target starts no work */
  sidecar[o].ledger = RAN;
  if
  :: end_call(c)
  :: true                                /* the answer is lost */
  fi
}

/* The call ends with an answer, or with "unknown". */
inline end_call(c)
{
  if :: IS_EXPECTED -> reset_call(c) :: else fi
}

/* The incarnation that got the submission reports that nothing ran; the entry
 * may submit again. */
inline refuse(c)
{
  if
  :: IS_EXPECTED ->
       call[c].is_submitted = false;
       call[c].pinned_incarnation = 0
  :: else
  fi
}

/* The owner renounces the request: the entry goes on to the second owner, and
 * has no further owner after the second one. */
inline renounce(o, c)
{
  if
  :: IS_EXPECTED && o == 0 ->
       call[c].is_submitted = false;
       call[c].pinned_incarnation = 0;
       call[c].owner = 1;
       call[c].epoch = sidecar[1].epoch[call[c].entry];
       call[c].renounced = true
  :: IS_EXPECTED && o == 1 ->
       call[c].is_submitted = false;
       call[c].pinned_incarnation = 0
  :: else
  fi
}

/* The caller sends the request through either entry. */
proctype caller()
{
  byte entry_index;
  do
  :: atomic {
       call_count < MAX_CALLS && now <= HORIZON ->
       if :: entry_index = 0 :: entry_index = 1 fi;
       call[call_count].is_active = true;
       call[call_count].entry = entry_index;
       call[call_count].owner = 0;
       call[call_count].epoch = sidecar[0].epoch[entry_index];
       call_count++
     }
  :: else -> break
  od
}

/* An entry works on a call: it submits, loses its stream or gives up. */
proctype entry_process(byte c)
{
  byte o;
  byte m;
  do
  :: atomic {   /* submits, if a message is free */
       call[c].is_active && !call[c].is_submitted &&
       now <= HORIZON + DEADLINE &&
       (!message[call[c].owner * 2].is_in_transit ||
        !message[call[c].owner * 2 + 1].is_in_transit) ->
       o = call[c].owner;
       m = o * 2;
       if
       :: message[m].is_in_transit -> m = m + 1
       :: else
       fi;
       message[m].is_in_transit = true;
       message[m].call = c;
       message[m].entry = call[c].entry;
       message[m].epoch = call[c].epoch;
       message[m].granted_at = now;
       if
       :: call[c].pinned_incarnation == 0 ->
            call[c].pinned_incarnation = sidecar[o].incarnation
       :: else
       fi;
       message[m].pinned_incarnation = call[c].pinned_incarnation;
       message[m].renounced = call[c].renounced;
       call[c].is_submitted = true;
       m = 0; o = 0
     }
  :: atomic {   /* the entry's stream breaks and a new one opens */
       call[c].is_active && call[c].is_submitted &&
       call[c].epoch < MAX_EPOCH ->
       call[c].epoch++;
       sidecar[call[c].owner].epoch[call[c].entry] = call[c].epoch;
       call[c].is_submitted = false
     }
  :: atomic {   /* gives up while no submission is out: answers "not run" */
       call[c].is_active && !call[c].is_submitted &&
       call[c].pinned_incarnation == 0 && now > 0 ->
       answered_not_run[c] = true;
       assert(!started_run[c]);          /* "not run" is true */
       reset_call(c)
     }
  :: now >= END_TIME -> break
  od
}

/* A sidecar takes its two messages in any order. */
proctype sidecar_process(byte o)
{
  byte m;
  byte c;
  do
  :: atomic {
       (message[o * 2].is_in_transit || message[o * 2 + 1].is_in_transit) ->
       m = o * 2;
       if
       :: message[m].is_in_transit
       :: message[m + 1].is_in_transit -> m = m + 1
       fi;
       c = message[m].call;
       if
       :: HAS_INCARNATION &&
          message[m].pinned_incarnation != sidecar[o].incarnation ->
            end_call(c)                                  /* unknown */
       :: else ->
         if
         :: HAS_LEDGER && sidecar[o].ledger == RAN ->
              end_call(c)                                /* replays answer */
         :: HAS_RENOUNCING && sidecar[o].ledger == RENOUNCED ->
              renounce(o, c)
         :: !IS_KNOWN ->
              refuse(c)                                  /* other manifest */
         :: !IS_KNOWN ->
           if
           :: HAS_QUARANTINE && sidecar[o].incarnation > 1 &&
              now < sidecar[o].started_at + QUARANTINE ->
                end_call(c)                              /* unknown */
           :: else ->
             if
             :: o == 1 && !message[m].renounced -> end_call(c)
             :: else ->
               if
               :: HAS_LEAVING && sidecar[o].leaving ->
                    sidecar[o].ledger = RENOUNCED;
                    renounce(o, c)
               :: else ->
                 if
                 :: HAS_GRANTS &&
                    (message[m].granted_at + GRANT < now ||
                     message[m].epoch != sidecar[o].epoch[message[m].entry]) ->
                      refuse(c)
                 :: else ->
                   if
                   :: start_run(o, c)
                   :: refuse(c)                          /* queue is full */
                   fi
                 fi
               fi
             fi
           fi
         fi
       fi;
       reset_message(m);
       m = 0; c = 0
     }
  :: now >= END_TIME -> break
  od
}

/* Crashes, the marks of operators, and time. */
proctype environment()
{
  byte o;
  do
  :: atomic {   /* a sidecar crashes; its replacement has an empty ledger */
       crash_count < MAX_CRASHES ->
       crash_count++;
       if :: o = 0 :: o = 1 fi;
       sidecar[o].incarnation++;
       sidecar[o].started_at = now;
       sidecar[o].ledger = UNKNOWN;
       sidecar[o].leaving = false;
       reset_message(o * 2);     /* its streams break */
       reset_message(o * 2 + 1);
       o = 0
     }
  :: atomic { !was_leaving -> was_leaving = true; sidecar[0].leaving = true }
  :: atomic { sidecar[0].leaving -> sidecar[0].leaving = false }
  :: atomic { now < END_TIME -> now++ }
  :: now >= END_TIME -> break
  od
}

init
{
  atomic {
    sidecar[0].incarnation = 1; sidecar[0].ledger = UNKNOWN;
    sidecar[1].incarnation = 1; sidecar[1].ledger = UNKNOWN;
    run caller();
    run entry_process(0);
    run entry_process(1);
    run sidecar_process(0);
    run sidecar_process(1);
    run environment()
  }
}
