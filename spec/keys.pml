/*
 * Ownership of timed keys: a call that must not be repeated runs at most once.
 *
 * There are two boxes of one hall, a published list that changes and is read late, and callers that request one key at both
 * boxes at any time. At any point a box may pause between decision and sending, crash with the loss of its table and start
 * under the same name, or shut down gracefully and hand its keys over. The clock of each box is off by up to CLOCK_ERROR;
 * the error is chosen once and kept.
 *
 * Time is discrete and ends at TMAX. A read returns the list as it was up to LAG ago, and a box admits requests only while
 * its last read is at most LEASE old. The list names box 0 as the owner first and box 1 after a change. Rendezvous hashing
 * is a function of the list, so that nothing else in the list matters. The time in the key is fixed at the start, so that
 * "the key is newer than the ownership by the margin" is one bit, which is set when an ownership begins.
 *
 * Broken variants, each of which must be refuted: -DNO_MARGIN (a new owner runs any key), -DNO_TIME_RULE (keys may be ahead
 * of the clock of the owner), -DNO_LEASE (an owner acts on an unconfirmed list), -DNO_BOOT_RULE (a start under the same name
 * does not begin a new ownership), -DLONG_CESSION (a handover never expires), -DNO_GAP_RULE (a missed list version does not
 * end an ownership), -DNO_CESSION_VERSION (a handover made by an older list remains valid).
 */
#ifndef TMAX
#define TMAX 10
#endif
#ifndef MAX_CHANGES
#define MAX_CHANGES 2
#endif
#ifndef MAX_ENDS
#define MAX_ENDS 2
#endif
#define LAG 1
#define LEASE 1
#define SKEW 1
#define CLOCK_ERROR 1
#define MARGIN (LAG + LEASE + SKEW + 2 * CLOCK_ERROR)

byte trueTime;
byte keyTime;           /* time in the key, by the clock of the caller */
byte runs;              /* how often the endpoint ran the call */

byte listOwner;         /* owner of the key in the published list */
byte previousListOwner; /* owner before the last change, returned by late reads */
byte lagLeft;           /* for how long a read may still return that owner */
byte changes;           /* number of the published list */
byte ends;              /* crashes and graceful shutdowns so far */

typedef Box {
  bool isUp;
  byte clockOffset;         /* clock error, 0 or 2 * CLOCK_ERROR: shifted so that errors of both signs are positive */
  byte listVersion;         /* number of the newest list that the box has read */
  byte newestOwner;         /* owner in that list */
  byte currentOwner;        /* owner on which the box bases its decisions */
  byte leaseLeft;           /* for how long the box may still admit requests by that read */
  bool isOwner;
  bool isKeyNewer;          /* the key is newer than the ownership of this box by the margin */
  bool hasRecordedKey;      /* the key is in the table of this box */
  bool isSendPending;       /* paused between decision and sending */
  bool isStopping;
  byte handoverLeft;        /* for how long the handover by the other box remains valid; 255: forever */
  byte handoverVersion;     /* number of the list by which the other box handed over */
  bool isHandoverKeyNewer;  /* the key is newer than the ownership of the other box by the margin */
};
Box box[2];

/* Temporary variables of single steps, not part of the state. */
hidden byte b;
hidden byte mayRun;
hidden byte readVersion;

#define other (1 - b)
#ifdef NO_CESSION_VERSION
#define IS_HANDOVER_VERSION_CURRENT true
#else
#define IS_HANDOVER_VERSION_CURRENT (box[b].handoverVersion == box[b].listVersion)
#endif
#define LOCAL_TIME (trueTime + box[b].clockOffset)

inline beginOwnership() {
  if
  :: !box[b].isOwner ->
     box[b].isOwner = true;
#ifdef NO_MARGIN
     box[b].isKeyNewer = true
#else
     box[b].isKeyNewer = keyTime > LOCAL_TIME + MARGIN
#endif
  :: else
  fi
}

/* Reads the list as it is, or as it was before a change that is less than LAG old. */
inline readList() {
  if
  :: box[b].currentOwner = listOwner; readVersion = changes
  :: lagLeft > 0 -> box[b].currentOwner = previousListOwner; readVersion = changes - 1
  fi;
#ifndef NO_GAP_RULE
  /* A list version was missed: another box may have owned the key in between. */
  if
  :: readVersion > box[b].listVersion + 1 -> box[b].isOwner = false
  :: else
  fi;
#endif
  if
  :: readVersion > box[b].listVersion -> box[b].listVersion = readVersion
  /* An older list is ignored and confirms nothing. */
  :: readVersion < box[b].listVersion -> box[b].currentOwner = box[b].newestOwner
  :: else
  fi;
  if
  :: readVersion == box[b].listVersion -> box[b].leaseLeft = LEASE + 1; box[b].newestOwner = box[b].currentOwner
  :: else
  fi;
  if
  :: box[b].currentOwner == b -> beginOwnership()
  :: else -> box[b].isOwner = false; box[b].isKeyNewer = false
  fi
}

inline decideAdmission() {
  mayRun = (box[b].currentOwner == b && box[b].isKeyNewer) ||
    (box[b].currentOwner != b && box[b].handoverLeft > 0 && box[b].isHandoverKeyNewer && IS_HANDOVER_VERSION_CURRENT);
#ifndef NO_LEASE
  mayRun = mayRun && box[b].leaseLeft > 0;
#endif
#ifndef NO_TIME_RULE
  mayRun = mayRun && keyTime <= LOCAL_TIME + SKEW;
#endif
  if
  :: mayRun -> box[b].hasRecordedKey = true; box[b].isSendPending = true
  :: else
  fi
}

inline stopProcess() {
  box[b].isUp = false; box[b].currentOwner = 0; box[b].listVersion = 0; box[b].newestOwner = 0;
  box[b].leaseLeft = 0; box[b].isOwner = false; box[b].isKeyNewer = false;
  box[b].hasRecordedKey = false; box[b].isSendPending = false; box[b].isStopping = false;
  box[b].handoverLeft = 0; box[b].isHandoverKeyNewer = false; box[b].handoverVersion = 0;
  ends++
}

inline countDown(remaining) {
  if
  :: remaining > 0 && remaining < 255 -> remaining--
  :: else
  fi
}

active proctype fleet() {
  atomic {
    box[0].isUp = true; box[1].isUp = true;
    if
    :: box[0].clockOffset = 2 * CLOCK_ERROR
    :: box[1].clockOffset = 2 * CLOCK_ERROR
    fi;
    select(keyTime : 0 .. TMAX + SKEW + 2 * CLOCK_ERROR);
    /* The first ownership began so early that the key is newer by the margin. */
    box[0].isOwner = true; box[0].isKeyNewer = true; box[0].leaseLeft = LEASE + 1
  }
loop:
  do
  :: trueTime < TMAX ->
     atomic {
       trueTime++;
       countDown(lagLeft);
       countDown(box[0].leaseLeft); countDown(box[1].leaseLeft);
       countDown(box[0].handoverLeft); countDown(box[1].handoverLeft)
     }
  :: changes < MAX_CHANGES && trueTime < TMAX && lagLeft == 0 ->
     atomic { previousListOwner = listOwner; listOwner = 1 - listOwner; lagLeft = LAG; changes++ }
  :: atomic { (box[0].isUp) -> b = 0; readList() }
  :: atomic { (box[1].isUp) -> b = 1; readList() }
  /* A request with the key, at either box. */
  :: atomic { (box[0].isUp && !box[0].hasRecordedKey && !box[0].isStopping) -> b = 0; decideAdmission() }
  :: atomic { (box[1].isUp && !box[1].hasRecordedKey && !box[1].isStopping) -> b = 1; decideAdmission() }
  /* The pause between decision and sending ends, however late. */
  :: atomic { (box[0].isSendPending) -> box[0].isSendPending = false; runs++; assert(runs <= 1) }
  :: atomic { (box[1].isSendPending) -> box[1].isSendPending = false; runs++; assert(runs <= 1) }
  /* A crash loses the table. */
  :: atomic { (box[0].isUp && ends < MAX_ENDS) -> b = 0; stopProcess() }
  :: atomic { (box[1].isUp && ends < MAX_ENDS) -> b = 1; stopProcess() }
  /* A start under the same name begins a new ownership like any other change of owner. */
  :: atomic { (!box[0].isUp) -> b = 0; box[b].isUp = true; readList(); goto started }
  :: atomic { (!box[1].isUp) -> b = 1; box[b].isUp = true; readList(); goto started }
  /* A graceful shutdown: no new requests are admitted, pending ones are sent, then the keys are handed over. */
  :: atomic { (box[0].isUp && !box[0].isStopping && ends < MAX_ENDS) -> box[0].isStopping = true }
  :: atomic { (box[1].isUp && !box[1].isStopping && ends < MAX_ENDS) -> box[1].isStopping = true }
  :: atomic { (box[0].isStopping && !box[0].isSendPending && ends < MAX_ENDS) -> b = 0; goto handOver }
  :: atomic { (box[1].isStopping && !box[1].isSendPending && ends < MAX_ENDS) -> b = 1; goto handOver }
  :: trueTime == TMAX -> break
  od;
  goto done;

started:
  atomic {
#ifdef NO_BOOT_RULE
    box[b].isKeyNewer = box[b].isOwner;
#endif
    goto loop
  }

handOver: /* The handover arrives together with the table, or is lost. */
  atomic {
    if
    :: box[b].isOwner && box[other].isUp ->
#ifdef LONG_CESSION
       box[other].handoverLeft = 255;
#else
       box[other].handoverLeft = LAG + LEASE;
#endif
       box[other].isHandoverKeyNewer = box[b].isKeyNewer;
       box[other].handoverVersion = box[b].listVersion;
       box[other].hasRecordedKey = box[other].hasRecordedKey || box[b].hasRecordedKey
    :: true
    fi;
    stopProcess();
    goto loop
  }

done:
  skip
}
