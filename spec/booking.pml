/*
 * Bookings of one key: at most one execution, no refusal of an attempt that runs, no reported result
 * that the backend server did not return. Two holders race for the range's journal by conditional
 * updates whose replies may be lost and which may take effect late; they may pause at any step.
 * Two relay incarnations hold one reservation each. An entry that lost a reply requests a refusal
 * while a copy of its message is still in flight. The caller retries after a refusal.
 *
 * check: good
 * check: broken -DNO_CONDITION
 * check: broken -DNO_SETTLING
 * check: broken -DNO_SENT_FIRST
 * check: broken -DNO_REFUSED_LIST
 * check: broken -DNO_REFUSAL_RECORD
 * check: broken -DNO_FENCED_LOOKUP
 * check: broken -DNO_RESERVATION_END
 * check: broken -DNO_WITHDRAWAL
 * check: broken -DNO_INCARNATION
 *
 * An attempt is 1 or 2; 0 is none.
 */

#define NONE 0
#define SENT 1
#define DONE 2
#define NOT_RUN 3

#define HOLDERS 2
#define ATTEMPTS 3

/* The journal object: version, one record, and the permanently refused attempts. */
byte version = 1;
byte state = NONE;
byte attempt = 0;
byte incarnationUsed = 0; /* of the record's reservation */
bool refused[ATTEMPTS];

/* The relay: its current incarnation, and the state of each attempt's reservation. */
byte incarnation = 1;
bool isReserved[ATTEMPTS];
bool isUsed[ATTEMPTS];

/* The actual executions, and the results reported to callers for each attempt. */
byte executions = 0;
bool executed[ATTEMPTS];
bool reportedNotRun[ATTEMPTS];
bool reportedDone[ATTEMPTS];

/* Copies of each attempt's message that may still arrive. */
byte messagesInFlight[ATTEMPTS];
bool mayRetry = false; /* the caller may send attempt 2 */
byte restartsLeft = 1; /* of the relay */

/* One pending write for each holder: an update that was sent and may take effect at any time. */
bool isWritePending[HOLDERS];
byte pendingVersion[HOLDERS];
byte pendingState[HOLDERS];
byte pendingAttempt[HOLDERS];
byte pendingIncarnation[HOLDERS];
byte pendingRefused[HOLDERS];

#ifdef NO_CONDITION
#define VERSION_MATCHES(expected) true
#else
#define VERSION_MATCHES(expected) (version == expected)
#endif

inline apply(holder, newState, newAttempt, newIncarnation, newRefused)
{
    version++;
    state = newState;
    attempt = newAttempt;
    incarnationUsed = newIncarnation;
    if
    :: newRefused != 0 -> refused[newRefused] = true;
    :: else
    fi
}

/* Outcomes of an update. Without a reply it is in doubt: it may take effect later or never. */
#define WROTE 1
#define CONFLICT 2
#define IN_DOUBT 3

inline update(holder, knownVersion, newState, newAttempt, newIncarnation, newRefused, outcome)
{
    atomic {
        if
        :: VERSION_MATCHES(knownVersion) ->
            apply(holder, newState, newAttempt, newIncarnation, newRefused);
            knownVersion = version;
            outcome = WROTE;
        :: !VERSION_MATCHES(knownVersion) -> outcome = CONFLICT;
        :: lostRepliesLeft > 0 && !isWritePending[holder] ->
            lostRepliesLeft--;
            isWritePending[holder] = true;
            pendingVersion[holder] = knownVersion;
            pendingState[holder] = newState;
            pendingAttempt[holder] = newAttempt;
            pendingIncarnation[holder] = newIncarnation;
            pendingRefused[holder] = newRefused;
            outcome = IN_DOUBT;
        fi
    }
}
byte lostRepliesLeft = 2;

proctype Store()
{
end:
    do
    :: atomic { isWritePending[0] -> isWritePending[0] = false;
        if
        :: VERSION_MATCHES(pendingVersion[0]) ->
            apply(0, pendingState[0], pendingAttempt[0], pendingIncarnation[0], pendingRefused[0]);
        :: else
        fi }
    :: atomic { isWritePending[1] -> isWritePending[1] = false;
        if
        :: VERSION_MATCHES(pendingVersion[1]) ->
            apply(1, pendingState[1], pendingAttempt[1], pendingIncarnation[1], pendingRefused[1]);
        :: else
        fi }
    od
}

/* Executes a reservation of the relay's current incarnation, once. */
#define IS_USABLE(a, i) (isReserved[a] && incarnation == i)

inline execute(a, i, reply)
{
    atomic {
        if
#ifdef NO_RESERVATION_END
        :: incarnation == i ->
#else
        :: IS_USABLE(a, i) ->
#endif
            isReserved[a] = false;
            isUsed[a] = true;
            executions++;
            executed[a] = true;
            reply = DONE;
        :: !IS_USABLE(a, i) && incarnation == i && !isUsed[a] -> reply = NOT_RUN;
        :: !IS_USABLE(a, i) && !(incarnation == i && !isUsed[a]) -> reply = SENT;
        fi
    }
}

/* Returns the outcome of a reservation, and withdraws the reservation if it is unused. */
inline queryOutcome(a, i, reply)
{
    atomic {
        if
        :: incarnation == i && isUsed[a] -> reply = DONE;
        :: incarnation == i && !isUsed[a] ->
#ifndef NO_WITHDRAWAL
            isReserved[a] = false;
#endif
            reply = NOT_RUN;
        :: incarnation != i ->
#ifdef NO_INCARNATION
            reply = (isUsed[a] -> DONE : NOT_RUN);
#else
            reply = SENT;
#endif
        fi
    }
}

proctype Relay()
{
end:
    do
    :: atomic { restartsLeft > 0 -> restartsLeft--; incarnation++;
        isReserved[1] = false; isReserved[2] = false;
        isUsed[1] = false; isUsed[2] = false; }
    :: atomic { isReserved[1] -> isReserved[1] = false; } /* expires */
    :: atomic { isReserved[2] -> isReserved[2] = false; }
    od
}

/* Without the list only the last refused attempt is known. */
#ifdef NO_REFUSED_LIST
#define IS_REFUSED(a) false
#else
#define IS_REFUSED(a) myRefused[a]
#endif

/* Acquires the range, then handles attempts, refusals and lookups, and resolves sent attempts. */
proctype Holder(byte self)
{
    byte knownVersion = 0; /* version of the journal copied below */
    byte myState = NONE;
    byte myAttempt = 0;
    byte myIncarnation = 0;
    bool myRefused[ATTEMPTS];
    byte a = 0;
    byte i = 0;
    byte outcome = 0;
    byte reply = 0;
    byte stepsLeft = 3;
    byte executionsAtStart = 0;

notHolding:
    atomic { a = 0; i = 0; outcome = 0; reply = 0; executionsAtStart = 0; }
end:
    do
    :: stepsLeft == 0 -> goto stopped;
    :: stepsLeft > 0 -> /* take over the range; the other holder may be alive but paused */
        stepsLeft--;
        atomic {
            knownVersion = version;
            myState = state;
            myAttempt = attempt;
            myIncarnation = incarnationUsed;
            myRefused[1] = refused[1];
            myRefused[2] = refused[2];
        }
        update(self, knownVersion, myState, myAttempt, myIncarnation, 0, outcome);
        if
        :: outcome == WROTE -> goto holding;
        :: outcome != WROTE -> skip;
        fi
    od

holding:
    atomic { a = 0; i = 0; outcome = 0; reply = 0; executionsAtStart = 0; }
endholding:
    do
    :: stepsLeft == 0 -> goto stopped;
    :: atomic { stepsLeft > 0 && messagesInFlight[1] > 0 ->
        messagesInFlight[1]--; a = 1; stepsLeft--; } goto processAttempt;
    :: atomic { stepsLeft > 0 && messagesInFlight[2] > 0 ->
        messagesInFlight[2]--; a = 2; stepsLeft--; } goto processAttempt;
    :: stepsLeft > 0 -> atomic { stepsLeft--; a = 1; } goto refuseAttempt; /* the entry lost a reply */
    :: stepsLeft > 0 -> stepsLeft--; goto lookUp;
    :: stepsLeft > 0 && myState == SENT -> stepsLeft--; goto resolveSent;
    od

processAttempt:
    if
    :: IS_REFUSED(a) -> goto holding;
    :: !IS_REFUSED(a) && (myState == DONE || myState == SENT) -> goto holding;
    :: !IS_REFUSED(a) && myState == NOT_RUN && myAttempt == a -> goto holding;
    :: !IS_REFUSED(a) && (myState == NONE || (myState == NOT_RUN && myAttempt != a)) -> skip;
    fi;
    atomic { /* reserve */
        isReserved[a] = true;
        i = incarnation;
    }
#ifdef NO_SENT_FIRST
    execute(a, i, reply);
#endif
    update(self, knownVersion, SENT, a, i, 0, outcome);
    if
    :: outcome == CONFLICT -> goto notHolding; /* no reply to the caller: the message is forwarded */
    :: outcome == IN_DOUBT ->
#ifdef NO_SETTLING
        /* reads the object back and treats its absence as proof that the write failed */
        if
        :: state != SENT -> skip;
        :: else -> goto notHolding;
        fi;
        reportedNotRun[a] = true;
        messagesInFlight[a] = 1; /* and allows a retry of the attempt as if it had not been sent */
        goto notHolding;
#else
        /* not executed; a successor may find the record as SENT */
        atomic { reportedNotRun[a] = true; mayRetry = true; }
        goto notHolding;
#endif
    :: outcome == WROTE -> skip;
    fi;
    myState = SENT; myAttempt = a; myIncarnation = i;
#ifndef NO_SENT_FIRST
    execute(a, i, reply);
#endif
    if
    :: reply == DONE && lostRepliesLeft > 0 -> lostRepliesLeft--;
        goto holding; /* the relay's reply is lost */
    :: reply == DONE ->
        update(self, knownVersion, DONE, a, i, 0, outcome);
        reportedDone[a] = true;
        if
        :: outcome == WROTE -> myState = DONE; goto holding;
        :: else -> goto notHolding;
        fi
    :: reply == NOT_RUN ->
        update(self, knownVersion, NOT_RUN, a, i, a, outcome);
        if
        :: outcome == WROTE -> myState = NOT_RUN; myRefused[a] = true;
        :: else
        fi;
        atomic { reportedNotRun[a] = true; mayRetry = true; }
        if
        :: outcome == WROTE -> goto holding;
        :: else -> goto notHolding;
        fi
    :: reply == SENT -> goto holding; /* unknown */
    fi;

refuseAttempt:
    if
    :: myState == SENT || myState == DONE -> goto holding;
    :: else
    fi;
#ifdef NO_REFUSAL_RECORD
    atomic { reportedNotRun[a] = true; mayRetry = true; }
    goto holding;
#else
    update(self, knownVersion, NOT_RUN, a, myIncarnation, a, outcome);
    if
    :: outcome == WROTE ->
        myState = NOT_RUN; myAttempt = a; myRefused[a] = true;
        atomic { reportedNotRun[a] = true; mayRetry = true; }
        goto holding;
    :: else -> goto notHolding; /* no reply to the caller */
    fi;
#endif

lookUp: /* the reply must have been true at some moment since the lookup began */
    executionsAtStart = executions;
    if
    :: myState == SENT || myState == DONE -> goto holding;
    :: else
    fi;
#ifdef NO_FENCED_LOOKUP
    outcome = WROTE;
#else
    update(self, knownVersion, myState, myAttempt, myIncarnation, 0, outcome);
#endif
    if
    :: outcome == WROTE ->
        assert(executionsAtStart == 0); /* replies that the booking has not run */
        goto holding;
    :: else -> goto notHolding;
    fi;

resolveSent:
    a = myAttempt;
    queryOutcome(a, myIncarnation, reply);
    if
    :: reply == SENT -> goto holding;
    :: reply == DONE ->
        update(self, knownVersion, DONE, a, myIncarnation, 0, outcome);
        if
        :: outcome == WROTE -> myState = DONE; reportedDone[a] = true; goto holding;
        :: else -> goto notHolding;
        fi
    :: reply == NOT_RUN ->
        update(self, knownVersion, NOT_RUN, a, myIncarnation, a, outcome);
        if
        :: outcome == WROTE ->
            myState = NOT_RUN; myRefused[a] = true;
            atomic { reportedNotRun[a] = true; mayRetry = true; }
            goto holding;
        :: else -> goto notHolding;
        fi
    fi;

stopped:
    skip
}

/* The caller retries once after a refusal. */
proctype Caller()
{
end:
    atomic { mayRetry -> messagesInFlight[2] = 1; }
}

/* Checks the invariants in every state. */
proctype Monitor()
{
end:
    do
    :: atomic { executions > 1 -> assert(false); }
    :: atomic { (reportedNotRun[1] && executed[1]) || (reportedNotRun[2] && executed[2]) ->
        assert(false); }
    :: atomic { (reportedDone[1] && !executed[1]) || (reportedDone[2] && !executed[2]) ->
        assert(false); }
    od
}

init
{
    atomic {
        messagesInFlight[1] = 1;
        run Store();
        run Relay();
        run Holder(0);
        run Holder(1);
        run Caller();
        run Monitor();
    }
}
