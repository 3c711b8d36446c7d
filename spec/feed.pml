/*
 * Consistency of boxes that do not read the platform themselves: the list and the configuration of such a box are always
 * those that the platform published at the revision and version recorded by the box, and neither goes back within one
 * incarnation of the box.
 *
 * The platform publishes revisions 1 to 3: endpoint A listed, endpoint B listed, A removed. The configuration of revision
 * r has version r. Two watchers read the platform whenever it serves them. It may reject either watcher or respond late: a
 * watcher reads any revision between its own and the newest. After each read, a watcher sends the changes since its
 * previous read. Links preserve the order of messages and drop messages that exceed their capacity, like a link that is
 * reconnected. The third box applies these changes, requests the whole list if it missed changes, applies a whole list
 * that may arrive late, and occasionally reads the platform itself. It may be killed and restart without any state.
 *
 * A notice also contains the changes of the configuration. The records changed by each version are represented by one bit,
 * so that a change applied to another version than the one it was made for results in wrong bits.
 *
 * Broken variants, each of which must be refuted: -DTAKE_GAP (changes are applied although earlier ones are lost), -DTAKE_OLD
 * (changes older than the state of the box are applied), -DTAKE_OLD_LIST (a whole list is applied without comparing
 * revisions), -DTAKE_OLD_VERSION (a configuration is applied without comparing versions),
 * -DTAKE_OTHER_CHANGE (a change of the configuration is applied regardless of the version it was made for).
 */
#define MAX_REVISION 3
#define WATCHERS 2

/* Whether A or B is listed at revision `r`. */
#define LISTED_A(r) ((r) == 1 || (r) == 2)
#define LISTED_B(r) ((r) >= 2)
/* Whether the changes after `from`, up to and including `to`, include one of A or of B. */
#define CHANGED_A(from, to) (((from) < 1 && (to) >= 1) || ((from) < 3 && (to) >= 3))
#define CHANGED_B(from, to) ((from) < 2 && (to) >= 2)

byte published = 0;            /* newest revision published by the platform */
byte watcherRevision[WATCHERS];  /* revision last read by each watcher */

chan notices0 = [2] of { byte, byte };   /* notices of watcher 0: from, revision */
chan notices1 = [2] of { byte, byte };
chan lists = [1] of { byte };            /* whole lists in transit, by revision */
chan configurations = [1] of { byte };   /* configurations in transit, by version */

byte revision = 0;             /* revision of the list recorded by the passive box */
bool hasA = false;
bool hasB = false;
byte version = 0;
byte appliedChanges = 0;       /* one bit for each version whose changes were applied to the configuration */
byte newestVersion = 0;        /* newest version and revision in this incarnation of the box */
byte newestRevision = 0;

inline applyListChanges(from, to) {
  if
  :: CHANGED_A(from, to) -> hasA = LISTED_A(to)
  :: else
  fi;
  if
  :: CHANGED_B(from, to) -> hasB = LISTED_B(to)
  :: else
  fi;
  if
  :: to > revision -> revision = to
  :: else
  fi
}

/* Bits of a configuration to which all changes up to version `v` were applied. */
#define CHANGES_UP_TO(v) ((1 << (v)) - 1)

inline applyConfigurationChange(from, to) {
  if
#ifdef TAKE_OTHER_CHANGE
  :: to > version -> appliedChanges = appliedChanges | (CHANGES_UP_TO(to) & ~CHANGES_UP_TO(from)); version = to
#else
  :: from == version && to > version ->
     appliedChanges = appliedChanges | (CHANGES_UP_TO(to) & ~CHANGES_UP_TO(from)); version = to
#endif
  :: else
  fi
}

inline handleNotice(from, to) {
  applyConfigurationChange(from, to);
  if
#ifdef TAKE_GAP
  :: to > revision -> applyListChanges(from, to)
#else
  :: from <= revision && to > revision -> applyListChanges(from, to)
#endif
#ifdef TAKE_OLD
  :: from <= revision && to <= revision -> applyListChanges(from, to)
#else
  :: from <= revision && to <= revision
#endif
#ifndef TAKE_GAP
  :: from > revision && to > revision ->
     /* Requests the whole list; the response contains the revision of the watcher at that time. */
     if
     :: nfull(lists) -> lists ! watcherRevision[0]
     :: nfull(lists) -> lists ! watcherRevision[1]
     :: full(lists)
     fi
#endif
  fi
}

inline applyList(r) {
  if
#ifdef TAKE_OLD_LIST
  :: true -> hasA = LISTED_A(r); hasB = LISTED_B(r); revision = r
#else
  :: r > revision -> hasA = LISTED_A(r); hasB = LISTED_B(r); revision = r
  :: else
#endif
  fi
}

inline applyConfiguration(v) {
  if
#ifdef TAKE_OLD_VERSION
  :: true -> version = v; appliedChanges = CHANGES_UP_TO(v)
#else
  :: v > version -> version = v; appliedChanges = CHANGES_UP_TO(v)
  :: else
#endif
  fi
}

inline checkInvariants() {
  assert(hasA == LISTED_A(revision));
  assert(hasB == LISTED_B(revision));
  assert(revision >= newestRevision);
  assert(version >= newestVersion);
  assert(appliedChanges == CHANGES_UP_TO(version));
  newestRevision = revision;
  newestVersion = version
}

active proctype platform() {
  do
  :: atomic { published < MAX_REVISION -> published++ }
  :: published == MAX_REVISION -> break
  od
}

active [WATCHERS] proctype watcher() {
  byte readRevision;
  do
  :: atomic {
       watcherRevision[_pid - 1] < published ->
       /* A late response may contain any revision in between. */
       select(readRevision : watcherRevision[_pid - 1] + 1 .. published);
       if
       :: _pid == 1 && nfull(notices0) -> notices0 ! watcherRevision[0], readRevision
       :: _pid == 2 && nfull(notices1) -> notices1 ! watcherRevision[1], readRevision
       :: true /* The link is down: the notice is lost. */
       fi;
       if
       :: nfull(configurations) -> configurations ! readRevision
       :: true
       fi;
       watcherRevision[_pid - 1] = readRevision;
       readRevision = 0
     }
  od
}

active proctype passiveBox() {
  byte from;
  byte to;
  do
  :: atomic { notices0 ? from, to -> handleNotice(from, to); checkInvariants(); from = 0; to = 0 }
  :: atomic { notices1 ? from, to -> handleNotice(from, to); checkInvariants(); from = 0; to = 0 }
  :: atomic { lists ? to -> applyList(to); checkInvariants(); to = 0 }
  :: atomic { configurations ? to -> applyConfiguration(to); checkInvariants(); to = 0 }
  /* Without a confirmation for too long, the box reads the platform itself. */
  :: atomic { published > revision -> applyList(published); applyConfiguration(published); checkInvariants() }
  /* The box is killed; messages in transit to it are lost with its links. */
  :: atomic {
       revision > 0 ->
       do
       :: notices0 ? from, to
       :: notices1 ? from, to
       :: lists ? to
       :: configurations ? to
       :: empty(notices0) && empty(notices1) && empty(lists) && empty(configurations) -> break
       od;
       revision = 0; version = 0; appliedChanges = 0; newestRevision = 0; newestVersion = 0;
       hasA = false; hasB = false; from = 0; to = 0
     }
  od
}
