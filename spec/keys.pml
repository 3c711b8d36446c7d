/*
 * Ownership of timed keys: a call that may not be repeated runs at most once.
 *
 * Two boxes of one hall, a published list that changes and is seen late, callers that ask for one key at both boxes
 * at any time, and at any point: a pause between judging and sending, a crash that loses the table and a start under
 * the same name, a planned stop that cedes the keys. Boxes have clocks that are off by up to EPS each; an error is
 * chosen once and kept.
 *
 * Time is discrete and bounded by TMAX. A reading shows the list as it was up to LAG ago, and a box judges only while
 * its last reading is at most LEASE old. The list names box 0 as the owner first and box 1 after a change (rendezvous
 * is a function of the list, so nothing else of it matters). The key's time is fixed at the start, so "the key is
 * younger than the ownership by the margin" is one bit, settled when an ownership begins.
 *
 * Broken variants, each to be refuted: -DNO_MARGIN (a new owner runs any key), -DNO_TIME_RULE (keys may lie ahead of
 * the owner's clock), -DNO_LEASE (an owner does not confirm its list), -DNO_BOOT_RULE (a start under the same name is
 * not a take-over), -DLONG_CESSION (a cession holds without end), -DNO_GAP_RULE (a missed list in between does not end
 * an ownership), -DNO_CESSION_VERSION (a cession made by an older list holds).
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
#define EPS 1
#define MARGIN (LAG + LEASE + SKEW + 2 * EPS)

byte now;              /* true time */
byte keyTime;          /* time in the key, by the caller's clock */
byte runs;             /* how often the endpoint ran the call */

byte listOwner;        /* the published list: who owns the key */
byte listBefore;       /* the owner before the last change, for late readers */
byte lagLeft;          /* for how long a reading may still show that */
byte changes;
byte ends;             /* crashes and planned stops so far */

typedef Box {
  bool up;
  byte off;            /* clock error, 0 or 2 * EPS: errors of both signs are shifted to be positive */
  byte version;        /* number of the newest list it has read */
  byte newest;         /* the owner in that list */
  byte view;           /* the owner it goes by */
  byte leaseLeft;      /* for how long that reading may still be acted on */
  bool owns;
  bool young;          /* the key is younger than its ownership by the margin */
  bool knows;          /* the key is in its table */
  bool judged;         /* paused between judging and sending */
  bool stopping;
  byte ceded;          /* for how long the other box's cession still holds; 255: without end */
  byte cededVersion;   /* number of the list by which the other box ceded */
  bool cededYoung;     /* the key is younger than the ceding box's ownership by the margin */
};
Box box[2];

/* Scratch of single steps, no part of the state. */
hidden byte b;
hidden byte mayRun;
hidden byte version;

#define other (1 - b)
#ifdef NO_CESSION_VERSION
#define CESSION_FITS true
#else
#define CESSION_FITS (box[b].cededVersion == box[b].version)
#endif
#define CLOCK (now + box[b].off)

inline beginOwnership() {
  if
  :: !box[b].owns ->
     box[b].owns = true;
#ifdef NO_MARGIN
     box[b].young = true
#else
     box[b].young = keyTime > CLOCK + MARGIN
#endif
  :: else
  fi
}

/* A reading: the list as it is, or as it was before a change that is less than LAG old. */
inline readList() {
  if
  :: box[b].view = listOwner; version = changes
  :: lagLeft > 0 -> box[b].view = listBefore; version = changes - 1
  fi;
#ifndef NO_GAP_RULE
  /* A list in between was missed: another box may have owned the key meanwhile. */
  if
  :: version > box[b].version + 1 -> box[b].owns = false
  :: else
  fi;
#endif
  if
  :: version > box[b].version -> box[b].version = version
  :: version < box[b].version -> box[b].view = box[b].newest /* an older list is ignored and confirms nothing */
  :: else
  fi;
  if
  :: version == box[b].version -> box[b].leaseLeft = LEASE + 1; box[b].newest = box[b].view
  :: else
  fi;
  if
  :: box[b].view == b -> beginOwnership()
  :: else -> box[b].owns = false; box[b].young = false
  fi
}

inline judge() {
  mayRun = (box[b].view == b && box[b].young) || (box[b].view != b && box[b].ceded > 0 && box[b].cededYoung && CESSION_FITS);
#ifndef NO_LEASE
  mayRun = mayRun && box[b].leaseLeft > 0;
#endif
#ifndef NO_TIME_RULE
  mayRun = mayRun && keyTime <= CLOCK + SKEW;
#endif
  if
  :: mayRun -> box[b].knows = true; box[b].judged = true
  :: else
  fi
}

inline forget() {
  box[b].up = false; box[b].view = 0; box[b].version = 0; box[b].newest = 0; box[b].leaseLeft = 0; box[b].owns = false; box[b].young = false;
  box[b].knows = false; box[b].judged = false; box[b].stopping = false; box[b].ceded = 0; box[b].cededYoung = false;
  box[b].cededVersion = 0;
  ends++
}

inline pass(left) {
  if
  :: left > 0 && left < 255 -> left--
  :: else
  fi
}

active proctype Fleet() {
  atomic {
    box[0].up = true; box[1].up = true;
    if
    :: box[0].off = 2 * EPS
    :: box[1].off = 2 * EPS
    fi;
    select(keyTime : 0 .. TMAX + SKEW + 2 * EPS);
    /* The first owner has owned the key since long before. */
    box[0].owns = true; box[0].young = true; box[0].leaseLeft = LEASE + 1
  }
loop:
  do
  :: now < TMAX ->
     atomic {
       now++;
       pass(lagLeft); pass(box[0].leaseLeft); pass(box[1].leaseLeft); pass(box[0].ceded); pass(box[1].ceded)
     }
  :: changes < MAX_CHANGES && now < TMAX && lagLeft == 0 ->
     atomic { listBefore = listOwner; listOwner = 1 - listOwner; lagLeft = LAG; changes++ }
  :: atomic { (box[0].up) -> b = 0; readList() }
  :: atomic { (box[1].up) -> b = 1; readList() }
  /* An ask, at either box. */
  :: atomic { (box[0].up && !box[0].knows && !box[0].stopping) -> b = 0; judge() }
  :: atomic { (box[1].up && !box[1].knows && !box[1].stopping) -> b = 1; judge() }
  /* The pause between judging and sending ends, however late. */
  :: atomic { (box[0].judged) -> box[0].judged = false; runs++; assert(runs <= 1) }
  :: atomic { (box[1].judged) -> box[1].judged = false; runs++; assert(runs <= 1) }
  /* A crash loses the table. */
  :: atomic { (box[0].up && ends < MAX_ENDS) -> b = 0; forget() }
  :: atomic { (box[1].up && ends < MAX_ENDS) -> b = 1; forget() }
  /* A start under the same name is a take-over like any other. */
  :: atomic { (!box[0].up) -> b = 0; box[b].up = true; readList(); goto started }
  :: atomic { (!box[1].up) -> b = 1; box[b].up = true; readList(); goto started }
  /* A planned stop: nothing new is judged, what is in hand is sent, then the keys are ceded. */
  :: atomic { (box[0].up && !box[0].stopping && ends < MAX_ENDS) -> box[0].stopping = true }
  :: atomic { (box[1].up && !box[1].stopping && ends < MAX_ENDS) -> box[1].stopping = true }
  :: atomic { (box[0].stopping && !box[0].judged && ends < MAX_ENDS) -> b = 0; goto cede }
  :: atomic { (box[1].stopping && !box[1].judged && ends < MAX_ENDS) -> b = 1; goto cede }
  :: now == TMAX -> break
  od;
  goto done;

started:
  atomic {
#ifdef NO_BOOT_RULE
    box[b].young = box[b].owns;
#endif
    goto loop
  }

cede: /* the cession arrives with the table, or is lost */
  atomic {
    if
    :: box[b].owns && box[other].up ->
#ifdef LONG_CESSION
       box[other].ceded = 255;
#else
       box[other].ceded = LAG + LEASE;
#endif
       box[other].cededYoung = box[b].young;
       box[other].cededVersion = box[b].version;
       box[other].knows = box[other].knows || box[b].knows
    :: true
    fi;
    forget();
    goto loop
  }

done:
  skip
}
