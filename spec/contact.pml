/*
 * Removal of missing entries on a box that cannot read the platform: the box must distinguish an outage of the platform,
 * in which entries of live endpoints lapse, from an endpoint that leaves.
 *
 * Time advances in rounds of one second. There are three boxes. Boxes 0 and 1 are in the same hall, in which a box that
 * reads the platform sends every update to the other one. All other reports confirm that the receiver is up to date, or
 * contain the whole list if that of the sender is newer. Any report may be lost. The connection of a box to the platform
 * may be cut and restored, and the platform may be down once. In an outage of three rounds or more the entry of a live
 * endpoint may lapse; it is listed again within two rounds of the platform's return. The endpoint may leave once and goes
 * on serving: its entry is removed, or turns out to be missing when the platform returns.
 *
 * Properties: no box drops a live endpoint; a box that was connected in each of the last four rounds, by a read of its own
 * or by a report in each of them, does not keep an endpoint that has left; and no box counts as connected unless some box
 * has read the platform in the last few rounds.
 *
 * Broken variants, each of which must be refuted: -DOWN_CALLS (the platform counts as down while the box's own calls fail),
 * -DNO_DOUBT (after an outage a missing entry counts as removed at once),
 * -DHEARSAY (a box that has only been confirmed by a peer confirms others),
 * -DLAPSED_AS_LISTED (a list sent to a peer does not mark the endpoints that are kept although their entries are missing),
 * -DTAKE_OLD_WORD (a report from before the end of the grace period proves that an endpoint missing from it has left),
 * -DPASS_OWN_DOUBT (a box that receives updates relays the grace period of its own isolation).
 */
#define BOXES 3
#define REPORT_TTL 2
#define GRACE_PERIOD 2
#define LEASE 3
#define RELIST_ROUNDS 2
#define MAX_CUT_CHANGES 2
#define REMOVAL_ROUNDS 4
/* Greatest number of rounds since any box read the platform for which a box may still count as connected: a read is relayed
   only once, in the round in which it was made or while its report is valid. */
#define MAX_ROUNDS_SINCE_READ 5

bool isPlatformUp = true;
bool hadOutage = false;
byte outageRounds = 0;         /* rounds since the platform went down */
byte roundsSinceReturn = RELIST_ROUNDS + 1;  /* rounds since the platform's return */
bool isLive = true;            /* whether the endpoint has not left */
bool isListed = true;
byte published = 0;            /* revision published by the platform */
byte cutChanges = 0;           /* times that a connection to the platform was cut or restored */
byte roundsSinceRead = 0;      /* rounds since any box read the platform */

bool isCutOff[BOXES];
bool isReading[BOXES] = true;
byte gracePeriod[BOXES];       /* rounds for which a missing entry may only have lapsed */
byte ownGracePeriod[BOXES];    /* rest of the grace period that the box had when it resumed reading: reported to others */
byte revision[BOXES];
bool hasEndpoint[BOXES] = true;
bool isLapsed[BOXES];          /* whether the endpoint is kept although its entry is missing */
byte roundsSinceGrace[BOXES];  /* rounds since the end of the grace period */
byte informedRounds[BOXES];    /* consecutive rounds, since the endpoint left, in which the box was informed and the platform up */
bool isInformed[BOXES];        /* whether the box read the platform or received a report in this round */
/* Rounds for which a report of box a remains valid at box b, at index a * BOXES + b. */
byte confirmationTtl[9];       /* of a report that b is up to date */
byte updateTtl[9];             /* of a report by a box of the same hall that reads the platform, which sends every update */
byte reportedGracePeriod[BOXES];  /* grace period received with updates, which the box relays in place of its own */

#define IS_CONFIRMED(b) (confirmationTtl[b] > 0 || confirmationTtl[BOXES + b] > 0 || confirmationTtl[2 * BOXES + b] > 0)
#define IS_RECEIVING_UPDATES(b) (updateTtl[b] > 0 || updateTtl[BOXES + b] > 0 || updateTtl[2 * BOXES + b] > 0)
#define IS_CONNECTED(b) (isReading[b] || IS_CONFIRMED(b))
/* A box is only as up to date as its newest valid report: one from before the end of the grace period may lack an endpoint
   that has been listed again since. */
#define IS_CONFIRMED_WITHIN(b, rounds) \
  (confirmationTtl[b] >= REPORT_TTL - (rounds) || confirmationTtl[BOXES + b] >= REPORT_TTL - (rounds) || \
   confirmationTtl[2 * BOXES + b] >= REPORT_TTL - (rounds))
#ifdef TAKE_OLD_WORD
#define HAS_CURRENT_REPORT(b) IS_CONFIRMED(b)
#else
#define HAS_CURRENT_REPORT(b) \
  (IS_CONFIRMED(b) && (roundsSinceGrace[b] >= REPORT_TTL || IS_CONFIRMED_WITHIN(b, roundsSinceGrace[b])))
#endif
#ifdef OWN_CALLS
#define MAY_REMOVE(b) (isReading[b] && gracePeriod[b] == 0)
#else
#define MAY_REMOVE(b) (gracePeriod[b] == 0 && (isReading[b] || HAS_CURRENT_REPORT(b)))
#endif
#ifdef HEARSAY
#define CAN_REPORT(b) (isReading[b] || IS_CONFIRMED(b))
#else
#define CAN_REPORT(b) (isReading[b] || IS_RECEIVING_UPDATES(b))
#endif
#ifdef LAPSED_AS_LISTED
#define REPORTS_LISTED(b) hasEndpoint[b]
#else
#define REPORTS_LISTED(b) (hasEndpoint[b] && !isLapsed[b])
#endif
/* Rounds for which the newest valid report at box b remains valid. */
#define MAX_TTL(ttls, b) \
  (ttls[b] > ttls[BOXES + b] -> \
    (ttls[b] > ttls[2 * BOXES + b] -> ttls[b] : ttls[2 * BOXES + b]) : \
    (ttls[BOXES + b] > ttls[2 * BOXES + b] -> ttls[BOXES + b] : ttls[2 * BOXES + b]))
#ifdef HEARSAY
#define RELAYED_TTL(b) REPORT_TTL
#else
#define RELAYED_TTL(b) MAX_TTL(updateTtl, b)
#endif
#define SAME_HALL(a, b) ((a) < 2 && (b) < 2)

inline handleReconnect(b) {
#ifndef NO_DOUBT
  if
  :: !IS_CONNECTED(b) -> gracePeriod[b] = GRACE_PERIOD; informedRounds[b] = 0
  :: else
  fi
#else
  skip
#endif
}

inline applyList(b, newRevision, listed) {
  revision[b] = newRevision;
  if
  :: listed -> hasEndpoint[b] = true; isLapsed[b] = false
  :: !listed && hasEndpoint[b] && MAY_REMOVE(b) -> hasEndpoint[b] = false; isLapsed[b] = false
  :: !listed && hasEndpoint[b] && !MAY_REMOVE(b) -> isLapsed[b] = true
  :: !listed && !hasEndpoint[b]
  fi
}

inline readPlatform(b) {
  if
  :: isPlatformUp && !isCutOff[b] ->
     handleReconnect(b);
     if
     :: !isReading[b] -> ownGracePeriod[b] = gracePeriod[b]
     :: else
     fi;
     isReading[b] = true;
     isInformed[b] = true;
     roundsSinceRead = 0;
     applyList(b, published, isListed)
  :: else -> isReading[b] = false
  fi
}

/* Sends a report from box a to box b, which may be lost. */
inline sendReport(a, b) {
  if
  :: true /* The report is lost. */
  :: CAN_REPORT(a) && (revision[a] <= revision[b] || SAME_HALL(a, b) || !isReading[b]) ->
     handleReconnect(b);
     if
     :: isReading[a] -> confirmationTtl[a * BOXES + b] = REPORT_TTL
     :: else -> confirmationTtl[a * BOXES + b] = RELAYED_TTL(a)
     fi;
     if
     :: isReading[a] && SAME_HALL(a, b) -> updateTtl[a * BOXES + b] = REPORT_TTL; reportedGracePeriod[b] = ownGracePeriod[a]
     :: else
     fi;
     if
     :: isReading[a] && ownGracePeriod[a] > gracePeriod[b] -> gracePeriod[b] = ownGracePeriod[a]
#ifdef PASS_OWN_DOUBT
     :: !isReading[a] && gracePeriod[a] > gracePeriod[b] -> gracePeriod[b] = gracePeriod[a]
#else
     :: !isReading[a] && reportedGracePeriod[a] > gracePeriod[b] -> gracePeriod[b] = reportedGracePeriod[a]
#endif
     :: else
     fi;
     isInformed[b] = true;
     if
     :: revision[a] > revision[b] -> applyList(b, revision[a], REPORTS_LISTED(a))
     :: else
     fi
  :: !CAN_REPORT(a) ->
     confirmationTtl[a * BOXES + b] = 0;
     updateTtl[a * BOXES + b] = 0;
     if
     :: revision[a] > revision[b] && !isReading[b] -> applyList(b, revision[a], REPORTS_LISTED(a))
     :: else
     fi
  fi
}

inline countDown(counter) {
  if
  :: counter > 0 -> counter--
  :: else
  fi
}

inline changeEnvironment() {
  if
  :: isPlatformUp && !hadOutage -> isPlatformUp = false; hadOutage = true; outageRounds = 0
  :: !isPlatformUp -> isPlatformUp = true; roundsSinceReturn = 0;
     if
     :: isListed && (!isLive || outageRounds >= LEASE) -> isListed = false; published++
     :: isListed && isLive
     :: !isListed
     fi
  :: true
  fi;
  if
  :: isLive && isPlatformUp && isListed -> isLive = false; isListed = false; published++
  :: isLive && !isPlatformUp -> isLive = false
  :: true
  fi;
  if
  :: isPlatformUp && isLive && !isListed -> isListed = true; published++
  :: isPlatformUp && isLive && !isListed && roundsSinceReturn < RELIST_ROUNDS
  :: else
  fi;
  if
  :: cutChanges < MAX_CUT_CHANGES -> isCutOff[1] = !isCutOff[1]; cutChanges++
  :: cutChanges < MAX_CUT_CHANGES -> isCutOff[2] = !isCutOff[2]; cutChanges++
  :: true
  fi
}

inline finishRound(b) {
  if
  :: isLapsed[b] && MAY_REMOVE(b) -> hasEndpoint[b] = false; isLapsed[b] = false
  :: else
  fi;
  assert(!isLive || hasEndpoint[b]);
  if
  :: !isLive && isInformed[b] && isPlatformUp && informedRounds[b] < REMOVAL_ROUNDS -> informedRounds[b]++
  :: !isLive && isInformed[b] && isPlatformUp && informedRounds[b] == REMOVAL_ROUNDS
  :: else -> informedRounds[b] = 0
  fi;
  assert(informedRounds[b] < REMOVAL_ROUNDS || !hasEndpoint[b]);
  assert(!IS_CONNECTED(b) || roundsSinceRead <= MAX_ROUNDS_SINCE_READ);
  isInformed[b] = false;
  if
  :: gracePeriod[b] > 0 -> gracePeriod[b]--; roundsSinceGrace[b] = 0
  :: gracePeriod[b] == 0 && roundsSinceGrace[b] < REPORT_TTL -> roundsSinceGrace[b]++
  :: else
  fi;
  countDown(ownGracePeriod[b]);
  countDown(reportedGracePeriod[b])
}

active proctype fleet() {
  byte pair;
  do
  :: atomic {
       changeEnvironment();
       roundsSinceRead = (roundsSinceRead < MAX_ROUNDS_SINCE_READ + 1 -> roundsSinceRead + 1 : roundsSinceRead);
       readPlatform(0); readPlatform(1); readPlatform(2);
       sendReport(0, 1); sendReport(0, 2); sendReport(1, 0); sendReport(1, 2); sendReport(2, 0); sendReport(2, 1);
       finishRound(0); finishRound(1); finishRound(2);
       for (pair : 0 .. 8) { countDown(confirmationTtl[pair]); countDown(updateTtl[pair]) }
       pair = 0;
       outageRounds = (!isPlatformUp && outageRounds < LEASE -> outageRounds + 1 : outageRounds);
       roundsSinceReturn = (isPlatformUp && roundsSinceReturn <= RELIST_ROUNDS -> roundsSinceReturn + 1 : roundsSinceReturn)
     }
  od
}
