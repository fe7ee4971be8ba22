/* At-most-once bookings by a home and a witness, over deaths, lost messages and
 * resends.
 *
 * One key names the home and the witness. Callers send it up to SENDS times, each to
 * the home or to another instance, which asks the home and then the witness. Any
 * message may be lost; home and witness may die, each once, and lose their memory.
 * A pause is a delay between any two steps.
 *
 * Safe when the booking runs at most once, and when no caller is told "not run" for
 * good about a booking that runs before or after.
 *
 * Variant: -DBROKEN runs the booking without waiting for the witness's word.
 */
#define SENDS 5

mtype = { none, claimed, done, refused, lost };

mtype home = none;      /* the home's record; `lost` once it has died */
mtype witness = none;   /* the witness's record; `lost` once it has died */
byte runs = 0;          /* executions on backend servers */
bool told_not_run = false;
bool told_done = false;

#define CHECK assert(runs <= 1 && !(told_not_run && runs > 0))

/* The witness's reaction to a claim, in one step; the answer may be lost. */
inline ask_witness(granted) {
    if
    :: granted = false   /* the claim is lost, or the witness is dead */
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

/* The home takes a request for the key. */
proctype Home() {
    bool granted;
    atomic {
        if
        :: home == none -> home = claimed
        :: else -> goto finished    /* replay, wait or refusal: nothing runs */
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
       /* The backend server's answer may be lost: the outcome is unknown. */
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

/* An instance that cannot reach the home asks the witness. */
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
        :: else -> skip     /* replay, wait or unknown */
        fi
    }
}

proctype Killer() {
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
    run Killer();
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
