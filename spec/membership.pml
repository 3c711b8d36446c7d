/*
 * Failure detection in a hall: which boxes count as down while down reports and refutations cross in transit.
 *
 * One box, the suspect, may lose its links in one or both directions, end and restart. Its clock may have been set back, so
 * that a new incarnation may have any number. Two monitors in its hall may find at any time that it does not respond, as
 * often as the model allows, and report this to each other. All three send on links that preserve order; messages to a box
 * that is not running are lost. Finally all links work and the suspect runs: it sends heartbeats until no monitor responds
 * with a down report.
 *
 * Properties: a monitor never counts the suspect as down because of a report about an incarnation older than the newest one
 * that it knows; and finally both monitors count the suspect as up.
 *
 * Broken variants, each of which must be refuted: -DTAKE_OLD_NEWS (a down report is applied whichever incarnation it is about),
 * -DNO_OBJECTION (the suspect does not begin a new incarnation when it receives a report that it is down), -DNO_ANSWER (a
 * monitor does not respond to a heartbeat of a box that it counts as down with a down report).
 */
#define MONITORS 2
#define MAX_INCARNATION 6
#define MAX_DOWN_REPORTS 2
#define MAX_RESTARTS 1

byte incarnation = 1;          /* incarnation of the suspect */
byte downReports = 0;          /* down reports created by the monitors so far */
byte restarts = 0;
bool isStable = false;         /* no further failures occur */
bool isRunning = true;         /* whether the suspect runs */

byte knownIncarnation[MONITORS] = 1;   /* newest incarnation of the suspect known to each monitor */
byte downIncarnation[MONITORS] = 0;    /* incarnation that each monitor counts as down; 0 for none */

chan toMonitor0 = [3] of { byte };     /* heartbeats, by incarnation */
chan toMonitor1 = [3] of { byte };
chan toSuspect = [4] of { byte };      /* down reports, by the incarnation they are about */
chan reportsTo0 = [2] of { byte };     /* down reports from one monitor to the other */
chan reportsTo1 = [2] of { byte };

inline send(channel, value) {
  if
  :: nfull(channel) -> channel!value
  :: full(channel)
  fi
}

/* The suspect sends its incarnation to both monitors. */
inline sendHeartbeats() {
  send(toMonitor0, incarnation);
  send(toMonitor1, incarnation)
}

inline handleHeartbeat(monitor, received) {
  if
  :: received > knownIncarnation[monitor] -> knownIncarnation[monitor] = received
  :: else
  fi;
  if
  :: downIncarnation[monitor] != 0 && received > downIncarnation[monitor] -> downIncarnation[monitor] = 0
  :: else
  fi;
#ifndef NO_ANSWER
  if
  :: downIncarnation[monitor] != 0 -> send(toSuspect, downIncarnation[monitor])
  :: else
  fi
#endif
}

inline handleDownReport(monitor, reported) {
  if
#ifdef TAKE_OLD_NEWS
  :: true -> downIncarnation[monitor] = reported
#else
  :: reported >= knownIncarnation[monitor] ->
    if
    :: reported > downIncarnation[monitor] -> downIncarnation[monitor] = reported
    :: else
    fi
  :: else
#endif
  fi;
  assert(downIncarnation[monitor] == 0 || downIncarnation[monitor] >= knownIncarnation[monitor])
}

inline reportDown(monitor, reportChannel) {
  downIncarnation[monitor] = knownIncarnation[monitor];
  send(reportChannel, knownIncarnation[monitor]);
  send(toSuspect, knownIncarnation[monitor])
}

active proctype hall() {
  byte received;
  byte heartbeatRounds;
  do
  /* Failures and down reports. */
  :: !isStable && downReports < MAX_DOWN_REPORTS && downIncarnation[0] == 0 ->
    atomic { downReports++; reportDown(0, reportsTo1) }
  :: !isStable && downReports < MAX_DOWN_REPORTS && downIncarnation[1] == 0 ->
    atomic { downReports++; reportDown(1, reportsTo0) }
  :: !isStable && isRunning && restarts < MAX_RESTARTS ->
    atomic {
      restarts++;
      isRunning = false;
      /* Messages in transit to the suspect are lost; messages that it sent may still arrive. */
      do
      :: toSuspect?received
      :: empty(toSuspect) -> break
      od
    }
  :: !isStable && !isRunning ->
    atomic {
      isRunning = true;
      /* The clock of the suspect may have been set back. */
      if
      :: incarnation = 1
      :: incarnation < MAX_INCARNATION -> incarnation++
      fi;
      sendHeartbeats()
    }
  :: !isStable && isRunning -> isStable = true

  /* Links deliver messages. */
  :: atomic { nempty(toMonitor0) -> toMonitor0?received; handleHeartbeat(0, received) }
  :: atomic { nempty(toMonitor1) -> toMonitor1?received; handleHeartbeat(1, received) }
  :: atomic { nempty(reportsTo0) -> reportsTo0?received; handleDownReport(0, received) }
  :: atomic { nempty(reportsTo1) -> reportsTo1?received; handleDownReport(1, received) }
  :: atomic {
      isRunning && nempty(toSuspect) -> toSuspect?received;
#ifndef NO_OBJECTION
      if
      :: received >= incarnation && received < MAX_INCARNATION -> incarnation = received + 1; sendHeartbeats()
      :: else
      fi
#endif
    }

  /* Without failures, a heartbeat is sent whenever no other message is in transit; a few rounds settle all boxes. */
  :: atomic {
      isStable && empty(toMonitor0) && empty(toMonitor1) && empty(reportsTo0) && empty(reportsTo1) && empty(toSuspect) ->
      if
      :: heartbeatRounds < 3 -> heartbeatRounds++; sendHeartbeats()
      :: else -> break
      fi
    }
  od;
  assert(downIncarnation[0] == 0 && downIncarnation[1] == 0)
}
