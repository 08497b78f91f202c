/* The core protocol of a request that may not be repeated.
 *
 * One request; two owners in the order of the published list; two entries.
 * A caller may send it through either entry. Messages on a stream are
 * delivered late or never; sidecars die and start again with nothing, targets
 * are marked leaving, streams break while messages are under way, and an
 * entry or a sidecar may stand still at any point (no step is forced).
 * Time is a counter: the caller sends only before HORIZON, and a grant lapses
 * a bounded time after its issue.
 *
 * Each NO_... define takes one safeguard out; the search must then fail.
 */

#define OWNERS 2
#define ENTRIES 2
#define LATEST 2      /* time stops here */
#define HORIZON 0     /* the caller sends at times 0..HORIZON */
#define GRANT 1       /* a grant is live at its time and GRANT later */
#define DEADLINE 0    /* a sending is worked on for so long */
/* In whole steps, the latest start is at HORIZON + DEADLINE + GRANT. */
#define QUARANTINE (HORIZON + DEADLINE + GRANT + 1)
#define MAX_CRASHES 1
#define MAX_SENDINGS 2
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

/* What a sidecar knows of the request. */
mtype = { NOTHING, RAN, RENOUNCED };

byte now = 0;
byte runs = 0;                 /* how often the target ran the request */
byte crashes = 0;
bool was_marked = false;       /* the platform called owner 0 leaving */
byte sendings = 0;
bool ran_for[MAX_SENDINGS];    /* which sending started a run */
bool refused[MAX_SENDINGS];    /* which sending was called not run */

typedef Sidecar {
  byte incarnation;
  byte started;                /* time of the start of this process */
  mtype ledger;
  bool leaving;
  byte epoch[ENTRIES];         /* newest stream of each entry it knows */
};

Sidecar sidecar[OWNERS];

/* One submission under way on a stream of one entry. */
typedef Message {
  bool is_there;
  byte sending;
  byte via;
  byte epoch;                  /* of the stream it was put on */
  byte granted;                /* time of the grant it carries */
  byte pinned;                 /* incarnation it is meant for */
  bool renounced;              /* the first owner renounced the request */
};

/* Two places for each owner: one may be held up while the next passes. */
Message wire[4];

/* One sending, carried by an entry. */
typedef Sending {
  bool is_open;
  byte via;
  byte owner;
  byte pinned;                 /* 0: nothing is out that may run */
  bool is_out;
  bool renounced;
  byte epoch;
};

Sending sending[MAX_SENDINGS];

/* What is over is set back, so that equal states are seen to be equal. */
inline clear_wire(x)
{
  wire[x].is_there = false;
  wire[x].sending = 0;
  wire[x].via = 0;
  wire[x].epoch = 0;
  wire[x].granted = 0;
  wire[x].pinned = 0;
  wire[x].renounced = false
}

inline close_sending(s)
{
  sending[s].is_open = false;
  sending[s].via = 0;
  sending[s].owner = 0;
  sending[s].pinned = 0;
  sending[s].is_out = false;
  sending[s].renounced = false;
  sending[s].epoch = 0
}

/* A result reaches the entry only on the stream that the sending waits on. */
#define IS_HEARD (sending[s].is_out && sending[s].owner == o && \
                  wire[w].epoch == sending[s].epoch)

#define IS_KNOWN ((HAS_LEDGER && sidecar[o].ledger == RAN) || \
                  (HAS_RENOUNCING && sidecar[o].ledger == RENOUNCED))

inline start_run(o, s)
{
  runs++;
  ran_for[s] = true;
  assert(runs <= 1);                     /* at most once */
  assert(!refused[s]);                   /* "not run" stays true */
  assert(!sidecar[o].leaving);           /* no new work once it leaves */
  sidecar[o].ledger = RAN;
  if
  :: end_sending(s)
  :: true                                /* the answer is lost */
  fi
}

/* The answer, or "unknown": the sending is over. */
inline end_sending(s)
{
  if :: IS_HEARD -> close_sending(s) :: else fi
}

/* The word of the very process it was sent to: nothing ran. */
inline refuse(s)
{
  if
  :: IS_HEARD -> sending[s].is_out = false; sending[s].pinned = 0
  :: else
  fi
}

/* The first owner's word leads to the second one; after that, give up. */
inline refuse_for_good(o, s)
{
  if
  :: IS_HEARD && o == 0 ->
       sending[s].is_out = false;
       sending[s].pinned = 0;
       sending[s].owner = 1;
       sending[s].epoch = sidecar[1].epoch[sending[s].via];
       sending[s].renounced = true
  :: IS_HEARD && o == 1 -> sending[s].is_out = false; sending[s].pinned = 0
  :: else
  fi
}

/* The caller sends the request through some entry. */
proctype caller()
{
  byte e;
  do
  :: atomic {
       sendings < MAX_SENDINGS && now <= HORIZON ->
       if :: e = 0 :: e = 1 fi;
       sending[sendings].is_open = true;
       sending[sendings].via = e;
       sending[sendings].owner = 0;
       sending[sendings].epoch = sidecar[0].epoch[e];
       sendings++
     }
  :: else -> break
  od
}

/* An entry works on sending s: submits, gives up, breaks its stream. */
proctype carrier(byte s)
{
  byte o;
  byte w;
  do
  :: atomic {   /* submit, where a place on the wire is free */
       sending[s].is_open && !sending[s].is_out &&
       now <= HORIZON + DEADLINE &&
       (!wire[sending[s].owner * 2].is_there ||
        !wire[sending[s].owner * 2 + 1].is_there) ->
       o = sending[s].owner;
       w = o * 2;
       if
       :: wire[w].is_there -> w = w + 1
       :: else
       fi;
       wire[w].is_there = true;
       wire[w].sending = s;
       wire[w].via = sending[s].via;
       wire[w].epoch = sending[s].epoch;
       wire[w].granted = now;
       if
       :: sending[s].pinned == 0 ->
            sending[s].pinned = sidecar[o].incarnation
       :: else
       fi;
       wire[w].pinned = sending[s].pinned;
       wire[w].renounced = sending[s].renounced;
       sending[s].is_out = true;
       w = 0; o = 0
     }
  :: atomic {   /* the stream breaks on the entry's side; a new one opens */
       sending[s].is_open && sending[s].is_out &&
       sending[s].epoch < MAX_EPOCH ->
       sending[s].epoch++;
       sidecar[sending[s].owner].epoch[sending[s].via] = sending[s].epoch;
       sending[s].is_out = false
     }
  :: atomic {   /* gives up where nothing is out: says "not run" */
       sending[s].is_open && !sending[s].is_out &&
       sending[s].pinned == 0 && now > 0 ->
       refused[s] = true;
       assert(!ran_for[s]);              /* "not run" is true */
       close_sending(s)
     }
  :: now >= LATEST -> break
  od
}

/* A sidecar takes in whatever message of its two places comes first. */
proctype gate(byte o)
{
  byte w;
  byte s;
  do
  :: atomic {
       (wire[o * 2].is_there || wire[o * 2 + 1].is_there) ->
       w = o * 2;
       if
       :: wire[w].is_there
       :: wire[w + 1].is_there -> w = w + 1
       fi;
       s = wire[w].sending;
       if
       :: HAS_INCARNATION && wire[w].pinned != sidecar[o].incarnation ->
            end_sending(s)                               /* unknown */
       :: else ->
         if
         :: HAS_LEDGER && sidecar[o].ledger == RAN ->
              end_sending(s)                             /* replayed */
         :: HAS_RENOUNCING && sidecar[o].ledger == RENOUNCED ->
              refuse_for_good(o, s)
         :: !IS_KNOWN ->
              refuse(s)                                  /* other manifest */
         :: !IS_KNOWN ->
           if
           :: HAS_QUARANTINE && sidecar[o].incarnation > 1 &&
              now < sidecar[o].started + QUARANTINE ->
                end_sending(s)               /* unknown */
           :: else ->
             if
             :: o == 1 && !wire[w].renounced -> end_sending(s)
             :: else ->
               if
               :: HAS_LEAVING && sidecar[o].leaving ->
                    sidecar[o].ledger = RENOUNCED;
                    refuse_for_good(o, s)
               :: else ->
                 if
                 :: HAS_GRANTS &&
                    (wire[w].granted + GRANT < now ||
                     wire[w].epoch != sidecar[o].epoch[wire[w].via]) ->
                      refuse(s)
                 :: else ->
                   if
                   :: start_run(o, s)
                   :: refuse(s)                          /* queue full */
                   fi
                 fi
               fi
             fi
           fi
         fi
       fi;
       clear_wire(w);
       w = 0; s = 0
     }
  :: now >= LATEST -> break
  od
}

/* Faults, operators and time. */
proctype world()
{
  byte o;
  do
  :: atomic {   /* a sidecar dies; its replacement remembers nothing */
       crashes < MAX_CRASHES ->
       crashes++;
       if :: o = 0 :: o = 1 fi;
       sidecar[o].incarnation++;
       sidecar[o].started = now;
       sidecar[o].ledger = NOTHING;
       sidecar[o].leaving = false;
       clear_wire(o * 2);                       /* its streams end */
       clear_wire(o * 2 + 1);
       o = 0
     }
  :: atomic { !was_marked -> was_marked = true; sidecar[0].leaving = true }
  :: atomic { sidecar[0].leaving -> sidecar[0].leaving = false }
  :: atomic { now < LATEST -> now++ }
  :: now >= LATEST -> break
  od
}

init
{
  atomic {
    sidecar[0].incarnation = 1; sidecar[0].ledger = NOTHING;
    sidecar[1].incarnation = 1; sidecar[1].ledger = NOTHING;
    run caller();
    run carrier(0);
    run carrier(1);
    run gate(0);
    run gate(1);
    run world()
  }
}
