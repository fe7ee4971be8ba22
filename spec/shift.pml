/* Shifts stay under their cap with expired leases, suspended planners and lost answers.
 *
 * The routing rows are abstracted to one position, and the share that a plan moves
 * to the distance between two positions. The store holds the position, a revision
 * and the ledger of moves with their times in one value, written by compare-and-swap.
 * Two planners read, are suspended for any time, and write. Their lease is left out:
 * it may expire at any moment, so both always act as if they held it. An answer may
 * be lost after the write took effect. The planners' clocks may be ahead, and a
 * suspended planner records the time at which it began. One instance applies the
 * newest plan at any moment and checks the cap by its own clock.
 *
 * Variants that must fail: -DNOGUARD leaves the cap to the ledger in the stored
 * value, which does not hold for a suspended planner. -DBROKEN in addition keeps the
 * ledger in each planner's memory.
 */
#define CAP     1
#define WINDOW  2
#define LAST    4   /* last tick of time */
#define SPAN    3   /* positions 0 .. SPAN */
#define SLOTS   5   /* size of a ledger, which is indexed by tick */

byte now_tick = 0;
byte position = 0;          /* in the store */
byte revision = 0;
byte ledger[SLOTS];         /* in the store: share moved at each tick, by planners' clocks */

byte applied = 0;           /* position in force on the instance */
byte moved[SLOTS];          /* share moved on the instance at each tick of true time */

#define DIST(a, b) ((a) > (b) -> (a) - (b) : (b) - (a))

/* Share moved within the window that ends at a tick. */
#define SUM(array, tick) (array[tick] + ((tick) > 0 -> array[(tick) - 1] : 0))

proctype Planner() {
    byte seen_position, seen_revision, clock, spent, target, step;
    byte own[SLOTS];
    do
    :: now_tick < LAST ->
        /* Reads the value; other steps may follow before the write. */
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
            /* The answer is not read, so a lost one makes no difference. */
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
            distance = DIST(position, applied);
            spent = SUM(moved, now_tick);
#ifndef NOGUARD
            if
            :: distance + spent > CAP ->
                /* Moves only as far as the cap allows by its own clock and ledger. */
                distance = (spent < CAP -> CAP - spent : 0);
                moved[now_tick] = moved[now_tick] + distance;
                if
                :: position > applied -> applied = applied + distance
                :: position < applied -> applied = applied - distance
                :: else
                fi
            :: else ->
                moved[now_tick] = moved[now_tick] + distance;
                applied = position
            fi;
#else
            moved[now_tick] = moved[now_tick] + distance;
            applied = position;
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
    /* Without the instance's check, the instance applies each plan in the tick of its
     * write, which is the best case for the ledger. */
    do
    :: now_tick < LAST && applied == position -> now_tick = now_tick + 1
    :: now_tick >= LAST -> break
    od
#endif
}

init {
    atomic { run Planner(); run Planner(); run Instance(); run Clock(); }
}
