/*
 * Who counts as down, while accusations and objections cross each other on their way.
 *
 * One box, the accused, may lose its links one way or both, end, and start again; its clock may have stepped back, so the
 * number of its new life may be any. Two watchers of its hall may find that it gives no sign of life, as often as the model
 * allows, and tell each other. All three speak on links that keep their order; what a box without power is told is lost.
 * In the end all links work and the accused runs: it sends heartbeats until nobody objects any more.
 *
 * To hold: a watcher never holds the accused for down by news of an earlier life than the newest that it knows of; and in
 * the end both watchers count it as up.
 *
 * Broken variants, each to be refuted: -DTAKE_OLD_NEWS (an accusation is believed whatever life it is about),
 * -DNO_OBJECTION (the accused does not begin a new life when it hears that it is down), -DNO_ANSWER (a watcher does not
 * tell a box that it holds it for down when that box sends a heartbeat).
 */
#define WATCHERS 2
#define MAX_LIFE 6
#define ACCUSATIONS 2
#define RESTARTS 1

byte life = 1;                 /* number of the accused box's life */
byte accusations = 0;
byte restarts = 0;
bool isCalm = false;           /* nothing fails from here on */
bool isRunning = true;

byte known[WATCHERS] = 1;      /* newest life of the accused that a watcher knows of */
byte downAt[WATCHERS] = 0;     /* life in which a watcher holds it for down; 0 for none */

chan toWatcher0 = [3] of { byte };     /* heartbeats: the life */
chan toWatcher1 = [3] of { byte };
chan toAccused = [4] of { byte };      /* accusations: the life they are about */
chan between0 = [2] of { byte };       /* accusations told to watcher 0 */
chan between1 = [2] of { byte };

inline tell(channel, value) {
  if
  :: nfull(channel) -> channel!value
  :: full(channel)
  fi
}

/* The accused tells both watchers of its life. */
inline sendHeartbeats() {
  tell(toWatcher0, life);
  tell(toWatcher1, life)
}

inline hearSign(w, sign) {
  if
  :: sign > known[w] -> known[w] = sign
  :: else
  fi;
  if
  :: downAt[w] != 0 && sign > downAt[w] -> downAt[w] = 0
  :: else
  fi;
#ifndef NO_ANSWER
  if
  :: downAt[w] != 0 -> tell(toAccused, downAt[w])
  :: else
  fi
#endif
}

inline hearAccusation(w, about) {
  if
#ifdef TAKE_OLD_NEWS
  :: true -> downAt[w] = about
#else
  :: about >= known[w] ->
    if
    :: about > downAt[w] -> downAt[w] = about
    :: else
    fi
  :: else
#endif
  fi;
  assert(downAt[w] == 0 || downAt[w] >= known[w])
}

inline accuse(w, other) {
  downAt[w] = known[w];
  tell(other, known[w]);
  tell(toAccused, known[w])
}

active proctype hall() {
  byte sign;
  byte round;
  do
  /* Trouble. */
  :: !isCalm && accusations < ACCUSATIONS && downAt[0] == 0 ->
    atomic { accusations++; accuse(0, between1) }
  :: !isCalm && accusations < ACCUSATIONS && downAt[1] == 0 ->
    atomic { accusations++; accuse(1, between0) }
  :: !isCalm && isRunning && restarts < RESTARTS ->
    atomic {
      restarts++;
      isRunning = false;
      /* What was under way to it is gone; what it sent may still arrive. */
      do
      :: toAccused?sign
      :: empty(toAccused) -> break
      od
    }
  :: !isCalm && !isRunning ->
    atomic {
      isRunning = true;
      /* Its clock may have stepped back. */
      if
      :: life = 1
      :: life < MAX_LIFE -> life++
      fi;
      sendHeartbeats()
    }
  :: !isCalm && isRunning -> isCalm = true

  /* Links carry what was sent. */
  :: atomic { nempty(toWatcher0) -> toWatcher0?sign; hearSign(0, sign) }
  :: atomic { nempty(toWatcher1) -> toWatcher1?sign; hearSign(1, sign) }
  :: atomic { nempty(between0) -> between0?sign; hearAccusation(0, sign) }
  :: atomic { nempty(between1) -> between1?sign; hearAccusation(1, sign) }
  :: atomic {
      isRunning && nempty(toAccused) -> toAccused?sign;
#ifndef NO_OBJECTION
      if
      :: sign >= life && sign < MAX_LIFE -> life = sign + 1; sendHeartbeats()
      :: else
      fi
#endif
    }

  /* In peace a heartbeat goes out whenever nothing else is under way: a few of them settle everything. */
  :: atomic {
      isCalm && empty(toWatcher0) && empty(toWatcher1) && empty(between0) && empty(between1) && empty(toAccused) ->
      if
      :: round < 3 -> round++; sendHeartbeats()
      :: else -> break
      fi
    }
  od;
  assert(downAt[0] == 0 && downAt[1] == 0)
}
