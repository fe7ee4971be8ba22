/* Configuration that never reverts, and means the same under the same number.
 *
 * Two operators read the value, and write the next number by compare-and-swap; the
 * answer may be lost, after which they write the same change again. Instances hear
 * documents from the store and from each other in any order, and one of them is
 * replaced once.
 *
 * Variant: -DBROKEN takes whatever document arrives last.
 */
#define INSTANCES 2
#define STEPS 3
#define LAST_NUMBER 2

byte stored_number = 0;
byte stored_content = 0;
byte number[INSTANCES];
byte content[INSTANCES];
byte content_of[LAST_NUMBER + 1];   /* what the store accepted under each number */

inline take(me, new_number, new_content) {
    d_step {
#ifdef BROKEN
        assert(new_number >= number[me]);
        number[me] = new_number;
        content[me] = new_content;
#else
        if
        :: new_number > number[me] ->
            number[me] = new_number;
            content[me] = new_content
        :: else
        fi;
#endif
        assert(content[me] == content_of[number[me]]);
    }
}

proctype Operator(byte id) {
    byte base, tries;
    do
    :: stored_number < LAST_NUMBER ->
        base = stored_number;
        tries = 0;
        do
        :: tries < 2 ->
            /* The same write may be sent twice when its answer was lost. */
            tries = tries + 1;
            d_step {
                if
                :: stored_number == base && base < LAST_NUMBER ->
                    stored_number = base + 1;
                    stored_content = id;
                    content_of[stored_number] = id
                :: else
                fi
            }
        :: break
        od;
        atomic { base = 0; tries = 0 }
    :: stored_number >= LAST_NUMBER -> break
    od
}

proctype Instance(byte me) {
    byte heard_number, heard_content, other, steps, restarts;
    do
    :: steps < STEPS ->
        steps = steps + 1;
        if
        :: d_step { heard_number = stored_number; heard_content = stored_content }
        :: other = 1 - me;
           d_step { heard_number = number[other]; heard_content = content[other] }
        fi;
        /* The document is on its way here while others arrive and take force. */
        take(me, heard_number, heard_content);
        d_step { heard_number = 0; heard_content = 0; other = 0 }
    :: steps >= STEPS -> break
    :: me == 0 && restarts == 0 ->
        restarts = 1;
        d_step { number[me] = 0; content[me] = 0 }
    od
}

/* A second stream into the same instance: documents cross. */
proctype Stream(byte me) {
    byte heard_number, heard_content;
    d_step { heard_number = stored_number; heard_content = stored_content };
    take(me, heard_number, heard_content);
    d_step { heard_number = 0; heard_content = 0 }
}

init {
    atomic {
        run Operator(1);
        run Operator(2);
        run Instance(0);
        run Instance(1);
        run Stream(0);
    }
}
