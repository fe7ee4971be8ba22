/* At-most-once execution of a booking under crashes, lost messages and retries.
 *
 * The idempotency key names the booking's home instance and its witness instance.
 * Callers send the key up to SENDS times, each time to the home or to another
 * instance, which asks the home and then the witness. Any message may be lost. Home
 * and witness may each crash once and lose their state. An arbitrary delay between
 * any two steps stands for a suspended process.
 *
 * Safety: the booking runs at most once, and no caller gets the final answer "not
 * run" for a booking that runs before or after.
 *
 * Variant that must fail: -DBROKEN runs the booking without a grant of the witness.
 */
#define SENDS 5

mtype = { none, claimed, done, refused, lost };

mtype home = none;      /* the home's record; `lost` after a crash */
mtype witness = none;   /* the witness's record; `lost` after a crash */
byte runs = 0;          /* number of executions on backend servers */
bool told_not_run = false;
bool told_done = false;

#define CHECK assert(runs <= 1 && !(told_not_run && runs > 0))

/* The witness handles a claim in one step; its answer may be lost. */
inline ask_witness(granted) {
    if
    :: granted = false   /* the claim is lost, or the witness has crashed */
    :: atomic {
        witness == none || witness == claimed ->
        witness = claimed;
        if
        :: granted = true
        :: granted = false   /* recorded, but the answer is lost */
        fi
       }
    :: atomic { witness == refused || witness == lost -> granted = false }
    fi
}

/* The home handles a request with the key. */
proctype Home() {
    bool granted;
    atomic {
        if
        :: home == none -> home = claimed
        :: else -> goto finished    /* replays, waits or refuses: nothing runs */
        fi
    }
#ifdef BROKEN
    granted = true;
    if
    :: atomic { witness == none -> witness = claimed }
    :: skip
    fi;
#else
    ask_witness(granted);
#endif
    if
    :: atomic {
        granted && home == claimed ->
        runs = runs + 1;
        CHECK;
       }
       /* The backend server's answer may be lost; the outcome is then unknown. */
       if
       :: atomic { home == claimed -> home = done; told_done = true }
       :: skip
       fi;
       if
       :: atomic { witness == claimed && home == done -> witness = done }
       :: skip
       fi
    :: atomic {
        !granted && home == claimed ->
        home = refused;
        told_not_run = true;
        CHECK;
       }
    :: atomic { home == lost -> skip }
    fi;
finished:
    skip
}

/* An instance that cannot reach the home asks the witness for the outcome. */
proctype Resolver() {
    atomic {
        if
        :: witness == none ->
            witness = refused;
            told_not_run = true;
            CHECK;
        :: witness == refused ->
            told_not_run = true;
            CHECK;
        :: else -> skip     /* replays, waits or answers that the outcome is unknown */
        fi
    }
}

/* Crashes of the home and of the witness. */
proctype Crash() {
    if
    :: atomic { home = lost }
    :: skip
    fi;
    if
    :: atomic { witness = lost }
    :: skip
    fi
}

init {
    byte sends = 0;
    run Crash();
    do
    :: sends < SENDS ->
        sends = sends + 1;
        if
        :: run Home()
        :: run Resolver()
        fi
    :: sends >= SENDS -> break
    od
}
