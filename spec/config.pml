/* A configuration never reverts, and a number always stands for the same content.
 *
 * Two operators read the stored document and write the next number by
 * compare-and-swap. If the answer is lost, they send the same write again. Instances
 * receive documents from the store and from each other in any order, and one of them
 * is replaced once.
 *
 * Variant that must fail: -DBROKEN accepts whatever document arrives last.
 */
#define INSTANCES 2
#define STEPS 3
#define LAST_NUMBER 2

byte stored_number = 0;
byte stored_content = 0;
byte number[INSTANCES];
byte content[INSTANCES];
byte content_of[LAST_NUMBER + 1];   /* content that the store accepted for each number */

/* An instance accepts a document if its number is higher than that in force. */
inline accept_document(me, new_number, new_content) {
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
            /* The same write is sent again if its answer was lost. */
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
    byte received_number, received_content, other, steps, restarts;
    do
    :: steps < STEPS ->
        steps = steps + 1;
        if
        :: d_step { received_number = stored_number; received_content = stored_content }
        :: other = 1 - me;
           d_step { received_number = number[other]; received_content = content[other] }
        fi;
        /* Other documents may arrive and come into force before this one. */
        accept_document(me, received_number, received_content);
        d_step { received_number = 0; received_content = 0; other = 0 }
    :: steps >= STEPS -> break
    :: me == 0 && restarts == 0 ->
        restarts = 1;
        d_step { number[me] = 0; content[me] = 0 }
    od
}

/* A second stream to the same instance, so that documents arrive out of order. */
proctype Stream(byte me) {
    byte received_number, received_content;
    d_step { received_number = stored_number; received_content = stored_content };
    accept_document(me, received_number, received_content);
    d_step { received_number = 0; received_content = 0 }
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
