/* At-most-once handing on by an instance that is cut off from backend servers.
 *
 * A caller sends one booking to an instance. The instance tries servers one after
 * another as long as none was reached or all refused, and may then hand the request on
 * once to an instance that says that it has a path. An instance that got a request
 * from another never hands it on. After a refusal the caller sends the booking again
 * to another instance.
 *
 * Links are cut and return between any two steps, so each connect may fail, each
 * message may be lost, and an instance's belief that it is cut off, or that another is
 * not, may be wrong at any time. A message in flight is a process of its own: what it
 * does may happen long after its sender has given up. Bookings do not affect each
 * other, so one suffices.
 *
 * Safety: the booking runs at most once; a request that an instance refused as not run
 * has not run and never will; no request passes more than one hop. Liveness: each
 * request gets a final answer (no invalid end state) and every execution ends (no
 * cycle, checked with pan -l).
 *
 * Variants that must fail: -DHAND_ON_AGAIN, the receiver hands on too;
 * -DRESEND_AFTER_LOST_HOP, a hop without an answer is repeated through another
 * instance; -DREFUSE_AFTER_LOST_HOP, it is refused as not run;
 * -DHAND_ON_AFTER_UNKNOWN, a send without an answer is handed on.
 */
#define INSTANCES 3
#define SERVERS   2     /* servers that an instance tries for a request */
#define SENDS     3     /* requests of the caller for its booking */
#define MAX_HOPS  1
#define HANDLERS  6     /* SENDS * (MAX_HOPS + 1) */

mtype = { served, not_run, unknown };

/* Answers to the handler of a request, by its number: from its servers, and from it to
 * the caller or to the instance that handed the request on. */
chan from_server[HANDLERS] = [2] of { mtype };
chan answer[HANDLERS] = [2] of { mtype };

byte runs = 0;              /* number of executions of the booking */
bool has_run[SENDS];        /* by the caller's send */
bool refused[SENDS];        /* whether the caller was told that it did not run */

#define CHECK(send) assert(runs <= 1 && !(refused[send] && has_run[send]))

/* A request on its way to a server. Its answer may be lost. */
proctype Server(byte send; byte handler) {
    if
    :: atomic {
        runs = runs + 1;
        has_run[send] = true;
        CHECK(send);
       }
       if
       :: from_server[handler] ! served
       :: skip
       fi
    :: from_server[handler] ! not_run   /* the server refuses it */
    :: skip                             /* the request is lost */
    fi
}

/* Tries servers while the request is certain not to have run. */
inline try_servers(outcome) {
    outcome = not_run;
    tried = 0;
    do
    :: tried < SERVERS && outcome == not_run ->
        tried = tried + 1;
        if
        :: skip                         /* the connect fails */
        :: run Server(send, handler);
           if
           :: from_server[handler] ? outcome
           :: outcome = unknown         /* the timeout passes */
           fi
        fi
    :: break    /* answered, or no other server, or believed to be cut off */
    od
}

/* Hands the request on to another instance. */
inline hand_on(outcome) {
    if
    :: helper = (me + 1) % INSTANCES
    :: helper = (me + 2) % INSTANCES
    fi;
    run Instance(helper, send, handler + 1, hops + 1);
    if
    :: answer[handler + 1] ? outcome
    :: outcome = unknown                /* the hop or its answer is lost */
#ifdef REFUSE_AFTER_LOST_HOP
       ; outcome = not_run
#endif
#ifdef RESEND_AFTER_LOST_HOP
       ; run Instance(helper, send, handler + 1, hops + 1);
       answer[handler + 1] ? outcome
#endif
    fi
}

/* The handler of a request at an instance. */
proctype Instance(byte me; byte send; byte handler; byte hops) {
    mtype outcome;
    byte tried, helper;
    assert(hops <= MAX_HOPS && me < INSTANCES);
    try_servers(outcome);
#ifdef HAND_ON_AFTER_UNKNOWN
    if
    :: outcome != served && hops < MAX_HOPS -> hand_on(outcome)
#elif defined(HAND_ON_AGAIN)
    if
    :: outcome == not_run -> hand_on(outcome)
#else
    if
    :: outcome == not_run && hops < MAX_HOPS -> hand_on(outcome)
#endif
    :: skip     /* no other instance is known to have a path, or it is not reached */
    fi;
    atomic {
        if
        :: outcome == not_run && hops == 0 ->
            refused[send] = true;
            CHECK(send)
        :: else
        fi;
        answer[handler] ! outcome
    }
}

/* The caller sends the booking again only after a refusal, to another instance. */
proctype Caller() {
    byte send = 0, instance = 0;
    mtype outcome;
    do
    :: send < SENDS ->
        run Instance(instance, send, send * (MAX_HOPS + 1), 0);
        answer[send * (MAX_HOPS + 1)] ? outcome;
        if
        :: outcome == not_run
        :: outcome != not_run -> break
        :: outcome = unknown; break     /* the connection ends before the answer */
        fi;
        send = send + 1;
        if
        :: instance = (instance + 1) % INSTANCES
        :: instance = (instance + 2) % INSTANCES
        fi
    :: send >= SENDS -> break
    od
}

init {
    run Caller()
}
