/*
 * Which vanished entries count: a box that cannot read the platform, between an outage of the platform and an endpoint
 * that leaves.
 *
 * Time goes in rounds of a second. Three boxes; 0 and 1 are of one hall, where who reads the platform tells the other all
 * that is new; all others vouch, or tell the whole list where they have a newer one. Any word may be lost. The way of a
 * box to the platform may be cut and come back, the platform may be away once. In an outage of three rounds or more the
 * entry of a live endpoint may lapse; it is back within two rounds of the platform's return. The endpoint may leave once,
 * and serves on: its entry goes, or is found gone when the platform is back.
 *
 * To hold: no box drops an endpoint that lives; a box that was in touch in each of the last four rounds without a break, by
 * its own reading or by a word in each of them, does not keep one that has left; and no box counts as in touch unless
 * somebody read the platform in the last few rounds.
 *
 * Broken variants, each to be refuted: -DOWN_CALLS (the platform counts as away while the box's own calls fail),
 * -DNO_DOUBT (after an outage a vanished entry counts at once), -DHEARSAY (who was vouched for vouches for others),
 * -DLAPSED_AS_LISTED (a list told to a peer does not say which endpoints are kept although they are gone),
 * -DTAKE_OLD_WORD (a word from before the end of the doubt shows that who is not back by then is gone),
 * -DPASS_OWN_DOUBT (a box that was told passes on the doubts of its own isolation).
 */
#define BOXES 3
#define WORD_LIFE 2
#define DOUBT 2
#define LEASE 3
#define BACK_IN 2
#define CUTS 2
#define HEARD_ENOUGH 4
/* An answer is passed on once, in the round in which it came or while its word holds. */
#define NEWS_LIFE 5

bool isUp = true;
bool hadOutage = false;
byte downFor = 0;
byte backFor = BACK_IN + 1;    /* rounds since the platform's return */
bool lives = true;
bool isListed = true;
byte published = 0;            /* the platform's revision */
byte cuts = 0;
byte unreadFor = 0;            /* rounds since any box read the platform */

bool isCut[BOXES];
bool reads[BOXES] = true;
byte doubt[BOXES];             /* rounds for which an entry that vanishes may only have lapsed */
byte ownDoubt[BOXES];          /* the same as far as the box saw the outage itself */
byte revision[BOXES];
bool has[BOXES] = true;
bool isLapsed[BOXES];
byte settledFor[BOXES];        /* rounds since it had no doubt any more */
byte heard[BOXES];             /* rounds in a row in which it was in touch since the endpoint left */
bool hears[BOXES];
/* Rounds for which the word of box a holds at box b, at a * BOXES + b. */
byte vouched[9];
byte told[9];
byte toldDoubt[BOXES];         /* doubts of those who told it, not its own */

#define VOUCHED(b) (vouched[b] > 0 || vouched[BOXES + b] > 0 || vouched[2 * BOXES + b] > 0)
#define TOLD(b) (told[b] > 0 || told[BOXES + b] > 0 || told[2 * BOXES + b] > 0)
#define IN_TOUCH(b) (reads[b] || VOUCHED(b))
/* What is known is as new as the newest word that holds: from before the doubt ended it may lack who is back. */
#define NEWER(b, age) (vouched[b] >= WORD_LIFE - (age) || vouched[BOXES + b] >= WORD_LIFE - (age) || vouched[2 * BOXES + b] >= WORD_LIFE - (age))
#ifdef TAKE_OLD_WORD
#define IS_CURRENT(b) VOUCHED(b)
#else
#define IS_CURRENT(b) (VOUCHED(b) && (settledFor[b] >= WORD_LIFE || NEWER(b, settledFor[b])))
#endif
#ifdef OWN_CALLS
#define SETTLED(b) (reads[b] && doubt[b] == 0)
#else
#define SETTLED(b) (doubt[b] == 0 && (reads[b] || IS_CURRENT(b)))
#endif
#ifdef HEARSAY
#define HAS_WORD(b) (reads[b] || VOUCHED(b))
#else
#define HAS_WORD(b) (reads[b] || TOLD(b))
#endif
#ifdef LAPSED_AS_LISTED
#define TELLS_LISTED(b) has[b]
#else
#define TELLS_LISTED(b) (has[b] && !isLapsed[b])
#endif
/* Rounds for which the newest word that holds at a box goes on to hold. */
#define NEWEST(counters, b) (counters[b] > counters[BOXES + b] -> (counters[b] > counters[2 * BOXES + b] -> counters[b] : counters[2 * BOXES + b]) : (counters[BOXES + b] > counters[2 * BOXES + b] -> counters[BOXES + b] : counters[2 * BOXES + b]))
#ifdef HEARSAY
#define NEWEST_WORD(b) WORD_LIFE
#else
#define NEWEST_WORD(b) NEWEST(told, b)
#endif
#define SAME_HALL(a, b) ((a) < 2 && (b) < 2)

inline noteReturn(b) {
#ifndef NO_DOUBT
  if
  :: !IN_TOUCH(b) -> doubt[b] = DOUBT; heard[b] = 0
  :: else
  fi
#else
  skip
#endif
}

inline learn(b, newRevision, listed) {
  revision[b] = newRevision;
  if
  :: listed -> has[b] = true; isLapsed[b] = false
  :: !listed && has[b] && SETTLED(b) -> has[b] = false; isLapsed[b] = false
  :: !listed && has[b] && !SETTLED(b) -> isLapsed[b] = true
  :: !listed && !has[b]
  fi
}

inline readPlatform(b) {
  if
  :: isUp && !isCut[b] ->
     noteReturn(b);
     if
     :: !reads[b] -> ownDoubt[b] = doubt[b]
     :: else
     fi;
     reads[b] = true;
     hears[b] = true;
     unreadFor = 0;
     learn(b, published, isListed)
  :: else -> reads[b] = false
  fi
}

/* What box a says to box b, if it arrives. */
inline say(a, b) {
  if
  :: true /* lost */
  :: HAS_WORD(a) && (revision[a] <= revision[b] || SAME_HALL(a, b) || !reads[b]) ->
     noteReturn(b);
     if
     :: reads[a] -> vouched[a * BOXES + b] = WORD_LIFE
     :: else -> vouched[a * BOXES + b] = NEWEST_WORD(a)
     fi;
     if
     :: reads[a] && SAME_HALL(a, b) -> told[a * BOXES + b] = WORD_LIFE; toldDoubt[b] = ownDoubt[a]
     :: else
     fi;
     if
     :: reads[a] && ownDoubt[a] > doubt[b] -> doubt[b] = ownDoubt[a]
#ifdef PASS_OWN_DOUBT
     :: !reads[a] && doubt[a] > doubt[b] -> doubt[b] = doubt[a]
#else
     :: !reads[a] && toldDoubt[a] > doubt[b] -> doubt[b] = toldDoubt[a]
#endif
     :: else
     fi;
     hears[b] = true;
     if
     :: revision[a] > revision[b] -> learn(b, revision[a], TELLS_LISTED(a))
     :: else
     fi
  :: !HAS_WORD(a) ->
     vouched[a * BOXES + b] = 0;
     told[a * BOXES + b] = 0;
     if
     :: revision[a] > revision[b] && !reads[b] -> learn(b, revision[a], TELLS_LISTED(a))
     :: else
     fi
  fi
}

inline age(counter) {
  if
  :: counter > 0 -> counter--
  :: else
  fi
}

inline changeWorld() {
  if
  :: isUp && !hadOutage -> isUp = false; hadOutage = true; downFor = 0
  :: !isUp -> isUp = true; backFor = 0;
     if
     :: isListed && (!lives || downFor >= LEASE) -> isListed = false; published++
     :: isListed && lives
     :: !isListed
     fi
  :: true
  fi;
  if
  :: lives && isUp && isListed -> lives = false; isListed = false; published++
  :: lives && !isUp -> lives = false
  :: true
  fi;
  if
  :: isUp && lives && !isListed -> isListed = true; published++
  :: isUp && lives && !isListed && backFor < BACK_IN
  :: else
  fi;
  if
  :: cuts < CUTS -> isCut[1] = !isCut[1]; cuts++
  :: cuts < CUTS -> isCut[2] = !isCut[2]; cuts++
  :: true
  fi
}

inline finishRound(b) {
  if
  :: isLapsed[b] && SETTLED(b) -> has[b] = false; isLapsed[b] = false
  :: else
  fi;
  assert(!lives || has[b]);
  if
  :: !lives && hears[b] && isUp && heard[b] < HEARD_ENOUGH -> heard[b]++
  :: !lives && hears[b] && isUp && heard[b] == HEARD_ENOUGH
  :: else -> heard[b] = 0
  fi;
  assert(heard[b] < HEARD_ENOUGH || !has[b]);
  assert(!IN_TOUCH(b) || unreadFor <= NEWS_LIFE);
  hears[b] = false;
  if
  :: doubt[b] > 0 -> doubt[b]--; settledFor[b] = 0
  :: doubt[b] == 0 && settledFor[b] < WORD_LIFE -> settledFor[b]++
  :: else
  fi;
  age(ownDoubt[b]);
  age(toldDoubt[b])
}

active proctype world() {
  byte at;
  do
  :: atomic {
       changeWorld();
       unreadFor = (unreadFor < NEWS_LIFE + 1 -> unreadFor + 1 : unreadFor);
       readPlatform(0); readPlatform(1); readPlatform(2);
       say(0, 1); say(0, 2); say(1, 0); say(1, 2); say(2, 0); say(2, 1);
       finishRound(0); finishRound(1); finishRound(2);
       for (at : 0 .. 8) { age(vouched[at]); age(told[at]) }
       at = 0;
       downFor = (!isUp && downFor < LEASE -> downFor + 1 : downFor);
       backFor = (isUp && backFor <= BACK_IN -> backFor + 1 : backFor)
     }
  od
}
