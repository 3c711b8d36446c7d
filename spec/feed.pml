/*
 * How boxes that do not read the platform stay in step with it: what a box believes is always what the platform
 * published at the revision that the box believes it has, and neither the list nor the configuration goes back within
 * one life of a box.
 *
 * The platform's revisions 1 to 3: endpoint A listed, endpoint B listed, A removed. The configuration
 * of revision r has version r. Two followers read it whenever the platform serves them (it may turn away either, or
 * answer late: a follower learns any revision between its own and the newest) and tell the changes since their last
 * reading on links that keep their order and lose what does not fit, as a link does that is made anew. The third box
 * takes what they tell, asks for the whole list where it missed something, takes a whole list that may be late, and now
 * and then reads the platform itself. It may be killed and start anew with nothing.
 *
 * A notice also carries what changed in the configuration; the records that each version changed are a bit of their own,
 * so that a change applied to another version than it was made for leaves records behind.
 *
 * Broken variants, each to be refuted: -DTAKE_GAP (changes are taken although earlier ones are missing), -DTAKE_OLD
 * (changes that are older than what the box knows are taken), -DTAKE_OLD_LIST (a whole list is taken without comparing
 * revisions), -DTAKE_OLD_VERSION (a configuration is taken without comparing versions),
 * -DTAKE_OTHER_CHANGE (a change of the configuration is taken whatever version it was made for).
 */
#define MAX_REVISION 3
#define FOLLOWERS 2

/* Whether A or B is listed at a revision. */
#define LISTED_A(r) ((r) == 1 || (r) == 2)
#define LISTED_B(r) ((r) >= 2)
/* Whether the changes after `from` up to `to` hold one of A or of B. */
#define CHANGED_A(from, to) (((from) < 1 && (to) >= 1) || ((from) < 3 && (to) >= 3))
#define CHANGED_B(from, to) ((from) < 2 && (to) >= 2)

byte published = 0;            /* newest revision of the platform */
byte followed[FOLLOWERS];      /* revision that a follower has */

chan notices0 = [2] of { byte, byte };   /* from, revision */
chan notices1 = [2] of { byte, byte };
chan lists = [1] of { byte };            /* whole lists on their way, by their revision */
chan versions = [1] of { byte };         /* configurations on their way */

byte revision = 0;             /* what the third box believes it has */
bool hasA = false;
bool hasB = false;
byte version = 0;
byte content = 0;              /* a bit for each version whose changes the configuration holds */
byte newestVersion = 0;        /* greatest version that it had in this life */
byte newestRevision = 0;

inline takeChanges(from, to) {
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

/* What a configuration holds that has all changes up to a version. */
#define CONTENT(v) ((1 << (v)) - 1)

inline takeChange(from, to) {
  if
#ifdef TAKE_OTHER_CHANGE
  :: to > version -> content = content | (CONTENT(to) & ~CONTENT(from)); version = to
#else
  :: from == version && to > version -> content = content | (CONTENT(to) & ~CONTENT(from)); version = to
#endif
  :: else
  fi
}

inline takeNotice(from, to) {
  takeChange(from, to);
  if
#ifdef TAKE_GAP
  :: to > revision -> takeChanges(from, to)
#else
  :: from <= revision && to > revision -> takeChanges(from, to)
#endif
#ifdef TAKE_OLD
  :: from <= revision && to <= revision -> takeChanges(from, to)
#else
  :: from <= revision && to <= revision
#endif
#ifndef TAKE_GAP
  :: from > revision && to > revision ->
     /* asks for the whole list; the answer shows what the asked follower has by then */
     if
     :: nfull(lists) -> lists ! followed[0]
     :: nfull(lists) -> lists ! followed[1]
     :: full(lists)
     fi
#endif
  fi
}

inline takeList(r) {
  if
#ifdef TAKE_OLD_LIST
  :: true -> hasA = LISTED_A(r); hasB = LISTED_B(r); revision = r
#else
  :: r > revision -> hasA = LISTED_A(r); hasB = LISTED_B(r); revision = r
  :: else
#endif
  fi
}

inline takeVersion(v) {
  if
#ifdef TAKE_OLD_VERSION
  :: true -> version = v; content = CONTENT(v)
#else
  :: v > version -> version = v; content = CONTENT(v)
  :: else
#endif
  fi
}

inline judge() {
  assert(hasA == LISTED_A(revision));
  assert(hasB == LISTED_B(revision));
  assert(revision >= newestRevision);
  assert(version >= newestVersion);
  assert(content == CONTENT(version));
  newestRevision = revision;
  newestVersion = version
}

active proctype platform() {
  do
  :: atomic { published < MAX_REVISION -> published++ }
  :: published == MAX_REVISION -> break
  od
}

active [FOLLOWERS] proctype follower() {
  byte learned;
  do
  :: atomic {
       followed[_pid - 1] < published ->
       /* a late answer shows any revision in between */
       select(learned : followed[_pid - 1] + 1 .. published);
       if
       :: _pid == 1 && nfull(notices0) -> notices0 ! followed[0], learned
       :: _pid == 2 && nfull(notices1) -> notices1 ! followed[1], learned
       :: true /* the link is down: the notice is lost */
       fi;
       if
       :: nfull(versions) -> versions ! learned
       :: true
       fi;
       followed[_pid - 1] = learned;
       learned = 0
     }
  od
}

active proctype rester() {
  byte from;
  byte to;
  do
  :: atomic { notices0 ? from, to -> takeNotice(from, to); judge(); from = 0; to = 0 }
  :: atomic { notices1 ? from, to -> takeNotice(from, to); judge(); from = 0; to = 0 }
  :: atomic { lists ? to -> takeList(to); judge(); to = 0 }
  :: atomic { versions ? to -> takeVersion(to); judge(); to = 0 }
  /* nothing was confirmed for too long: it reads the platform itself */
  :: atomic { published > revision -> takeList(published); takeVersion(published); judge() }
  /* killed; what was on its way to it is lost with its links */
  :: atomic {
       revision > 0 ->
       do
       :: notices0 ? from, to
       :: notices1 ? from, to
       :: lists ? to
       :: versions ? to
       :: empty(notices0) && empty(notices1) && empty(lists) && empty(versions) -> break
       od;
       revision = 0; version = 0; content = 0; newestRevision = 0; newestVersion = 0;
       hasA = false; hasB = false; from = 0; to = 0
     }
  od
}
