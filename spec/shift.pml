/* Capped shifts under lapsed leases, paused deciders and lost answers.
 *
 * Rows are abstracted to one position and the moved share to the distance. The
 * store holds the position, a number and the ledger of moves with their times, in
 * one compare-and-swap value. Two deciders read, pause for any time and write; the
 * lease between them is left out, since it may lapse at any moment: both always
 * believe to hold it. An answer may be lost after the write took effect. Deciders'
 * clocks may run ahead, and a paused decider enters the time at which it began. One
 * instance takes the newest plan at any moment and checks the cap by its own clock.
 *
 * Variants: -DNOGUARD leaves the cap to the ledger in the value, which a paused
 * decider defeats. -DBROKEN keeps the ledger in each decider's memory besides.
 */
#define CAP     1
#define WINDOW  2
#define LAST    4   /* last tick of time */
#define SPAN    3   /* positions 0 .. SPAN */
#define SLOTS   5   /* ledger indexed by tick */

byte now_tick = 0;
byte position = 0;          /* in the store */
byte revision = 0;
byte ledger[SLOTS];         /* in the store: moved at each tick, by deciders' clocks */

byte taken = 0;             /* position in force on the instance */
byte moved[SLOTS];          /* moved on the instance at each true tick */

#define DIST(a, b) ((a) > (b) -> (a) - (b) : (b) - (a))

/* Moved within the window that ends at a tick. */
#define SUM(array, tick) (array[tick] + ((tick) > 0 -> array[(tick) - 1] : 0))

proctype Decider() {
    byte seen_position, seen_revision, clock, spent, target, step;
    byte own[SLOTS];
    do
    :: now_tick < LAST ->
        /* Reads the value; whatever happens until the write is a pause. */
        d_step { seen_position = position; seen_revision = revision; }
        d_step {
            clock = now_tick;
#ifdef BROKEN
            spent = SUM(own, clock);
#endif
        }
        if
        :: clock < LAST -> clock = clock + 1
        :: skip
        fi;
#ifndef BROKEN
        /* The ledger was read in the same value as the position. */
        atomic {
            if
            :: seen_revision == revision -> spent = SUM(ledger, clock)
            :: else -> spent = CAP   /* the write below would fail anyway */
            fi
        }
#endif
        if
        :: spent < CAP && seen_position < SPAN -> step = 1
        :: spent < CAP && seen_position > 0 -> step = 2
        :: step = 0
        fi;
        if
        :: step == 0
        :: step != 0 ->
            target = (step == 1 -> seen_position + 1 : seen_position - 1);
            d_step {
                if
                :: revision == seen_revision && revision < 8 ->
                    position = target;
                    revision = revision + 1;
                    ledger[clock] = ledger[clock] + 1
#ifdef BROKEN
                    ; own[clock] = own[clock] + 1
#endif
                :: else
                fi;
                target = 0
            }
            /* The answer is not looked at: a lost one changes nothing. */
        fi;
        d_step { seen_position = 0; seen_revision = 0; clock = 0; spent = 0; step = 0 }
    :: now_tick >= LAST -> break
    od
}

proctype Instance() {
    byte spent, distance;
    do
    :: now_tick < LAST ->
        d_step {
            distance = DIST(position, taken);
            spent = SUM(moved, now_tick);
#ifndef NOGUARD
            if
            :: distance + spent > CAP ->
                /* Moves only as far as its own clock and ledger allow. */
                distance = (spent < CAP -> CAP - spent : 0);
                moved[now_tick] = moved[now_tick] + distance;
                if
                :: position > taken -> taken = taken + distance
                :: position < taken -> taken = taken - distance
                :: else
                fi
            :: else ->
                moved[now_tick] = moved[now_tick] + distance;
                taken = position
            fi;
#else
            moved[now_tick] = moved[now_tick] + distance;
            taken = position;
#endif
            spent = SUM(moved, now_tick);
            assert(spent <= CAP);
            distance = 0;
            spent = 0
        }
    :: now_tick >= LAST -> break
    od
}

proctype Clock() {
#ifndef NOGUARD
    do
    :: now_tick < LAST -> now_tick = now_tick + 1
    :: else -> break
    od
#else
    /* Without a guard the instance takes each plan in the tick of its write, which
     * is the best case for the ledger. */
    do
    :: now_tick < LAST && taken == position -> now_tick = now_tick + 1
    :: now_tick >= LAST -> break
    od
#endif
}

init {
    atomic { run Decider(); run Decider(); run Instance(); run Clock(); }
}
