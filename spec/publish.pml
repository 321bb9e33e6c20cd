/* Publishes configurations and distributes them to the daemons; spec/README.md maps the steps
 * to functions.
 *
 * check: good
 * check: broken -DNO_CONDITION
 * check: broken -DNO_SETTLE
 * check: broken -DNO_HIGHER_ONLY
 *
 * Two publishers race from the same head. The reply to a write of the head may be lost after the
 * write took effect, or the write may take effect after its publisher has continued. The store may
 * be down at any time. Daemons read the store or each other, and restart without a configuration.
 */

#define PUBLISHERS 2
#define DAEMONS 2
#define MAX_GENERATION 4

/* A generation's content is the number of its publisher: 1 to PUBLISHERS, 0 initially. */
byte headGeneration = 0;
byte headVersion = 0;
byte headContent = 0;
byte headPublishIds = 0;       /* bit set of the publishes recorded in the head */
byte contentOf[MAX_GENERATION + 1] = 0;

bool isStoreDown = false;

/* Writes in flight that may take effect later: at most one for each publisher. */
bool isWritePending[PUBLISHERS] = false;
byte pendingVersion[PUBLISHERS] = 0;
byte pendingGeneration[PUBLISHERS] = 0;
byte pendingIds[PUBLISHERS] = 0;

byte timesApplied[PUBLISHERS] = 0; /* generations created by the publish */

byte daemonGeneration[DAEMONS] = 0;
byte daemonContent[DAEMONS] = 0;

/* The conditional update of config/head. */
inline putHead(self, expected, generation, publishIds)
{
    if
#ifdef NO_CONDITION
    :: true ->
#else
    :: headVersion == expected ->
#endif
        assert(generation == headGeneration + 1); /* generations only increase */
        headVersion = headVersion + 1;
        headGeneration = generation;
        headContent = self + 1;
        headPublishIds = publishIds;
        contentOf[generation] = self + 1;
        timesApplied[self] = timesApplied[self] + 1;
        isWritten = true
#ifndef NO_CONDITION
    :: else -> isWritten = false
#endif
    fi
}

proctype Publisher(byte self)
{
    byte version;
    byte generation;
    byte publishIds;
    bool isWritten;
    byte writesSent;
    bool isSuccess = false;

readHead:
    atomic {
        !isStoreDown;
        version = headVersion;
        generation = headGeneration + 1;
        publishIds = headPublishIds | (1 << self)
    }
    writesSent = 0;
write:
    if
    :: atomic { !isStoreDown -> putHead(self, version, generation, publishIds);
        if
        :: isWritten -> isSuccess = true; goto done /* reply received */
        :: isWritten && writesSent < 2 -> writesSent++; goto write /* reply lost after the effect */
        :: !isWritten -> goto resolveOutcome
        fi }
    :: atomic { !isStoreDown && !isWritePending[self] && writesSent < 2 ->
        /* no reply; takes effect later or never */
        isWritePending[self] = true;
        pendingVersion[self] = version;
        pendingGeneration[self] = generation;
        pendingIds[self] = publishIds;
        writesSent++ };
        goto write
    :: writesSent > 0 -> goto gaveUp
    fi;
resolveOutcome:
    atomic {
        !isStoreDown;
        if
#ifdef NO_SETTLE
        :: true -> goto readHead
#else
        :: headPublishIds & (1 << self) -> isSuccess = true; goto done
        :: else -> goto readHead /* lost the race: retry on the new head */
#endif
        fi
    }
done:
    /* What was reported as published was published exactly once. */
    assert(timesApplied[self] == 1);
gaveUp:
    skip
}

inline clearPendingWrite(self)
{
    pendingVersion[self] = 0;
    pendingGeneration[self] = 0;
    pendingIds[self] = 0;
    isWritten = false
}

/* Applies or drops writes in flight. */
proctype PendingWrites()
{
    byte self;
    bool isWritten;
end:
    do
    :: atomic { isWritePending[0] -> isWritePending[0] = false;
        putHead(0, pendingVersion[0], pendingGeneration[0], pendingIds[0]); clearPendingWrite(0) }
    :: atomic { isWritePending[1] -> isWritePending[1] = false;
        putHead(1, pendingVersion[1], pendingGeneration[1], pendingIds[1]); clearPendingWrite(1) }
    :: atomic { isWritePending[0] -> isWritePending[0] = false; clearPendingWrite(0) } /* lost */
    :: atomic { isWritePending[1] -> isWritePending[1] = false; clearPendingWrite(1) }
    od
}

proctype StoreOutages()
{
end:
    do
    :: isStoreDown = !isStoreDown
    od
}

inline applyGeneration(self, generation, content)
{
    if
#ifdef NO_HIGHER_ONLY
    :: true ->
#else
    :: generation > daemonGeneration[self] ->
#endif
        assert(generation >= daemonGeneration[self]); /* never regresses while it runs */
        assert(contentOf[generation] == content); /* complete: as published */
        daemonGeneration[self] = generation;
        daemonContent[self] = content
#ifndef NO_HIGHER_ONLY
    :: else -> skip
#endif
    fi
}

/* Reading and applying are separate steps: what was read may be outdated when it is applied. */
proctype Daemon(byte self)
{
    byte generation = 0;
    byte content = 0;

end:
    do
    :: atomic { !isStoreDown -> generation = headGeneration; content = headContent }; goto applying
    :: atomic { daemonGeneration[1 - self] > 0 ->
        generation = daemonGeneration[1 - self]; content = daemonContent[1 - self] };
        goto applying
    :: atomic { daemonGeneration[self] > 0 -> /* a restart */
        daemonGeneration[self] = 0; daemonContent[self] = 0 }
    od;
applying:
    atomic { applyGeneration(self, generation, content); generation = 0; content = 0 };
    goto end
}

init
{
    atomic {
        run Publisher(0);
        run Publisher(1);
        run PendingWrites();
        run StoreOutages();
        run Daemon(0);
        run Daemon(1)
    }
}
