/* A report that one box makes for all: kept in the store under the holder's token before it is first sent, sent again by
 * whoever holds the lease next.
 *
 * Two boxes collect different counts of one window. The store deals the lease, with a token that rises, at any time, also
 * away from a holder that still relies on it. Appends and calls may land late, or twice. The platform refuses tokens below
 * the highest that it has seen.
 *
 * Property: the platform never accepts two reports of the window that differ.
 * Guards removed by macros: KEEP, EPOCH, RESEND.
 */
#define BOXES 2
byte token[BOXES];                   /* the lease as a box knows it; 0 for none */
byte last_token;                     /* the last that the store dealt */
byte epoch;                          /* the highest token whose holder has taken over */
byte record;                         /* the report in the store: 1 + the box whose counts it holds; 0 for none */
byte late_append_what, late_append_token;
byte late_call_what, late_call_token;
byte seen;                           /* the highest token that the platform has seen */
byte accepted;                       /* the report that it accepted */
byte deals;

inline land_append(what, under) {
  if
#ifdef NO_EPOCH
  :: true -> record = what
#else
  :: under >= epoch -> record = what
  :: else -> skip
#endif
  fi
}

inline land_call(what, under) {
  if
  :: under >= seen -> seen = under;
     assert(accepted == 0 || accepted == what);
     accepted = what
  :: else -> skip
  fi
}

proctype Box(byte me) {
  byte mine, report; bool kept;
  do
  :: token[me] != 0 && token[me] != mine ->
     /* Takes over: bars former holders' appends, and reads what they left. */
     atomic {
       if
       :: token[me] >= epoch -> mine = token[me]; epoch = mine;
          report = record; kept = (record != 0);
#ifdef NO_RESEND
          report = 0; kept = false;
#endif
          if :: report == 0 -> report = 1 + me :: else -> skip fi
       :: else -> token[me] = 0
       fi
     }
  :: mine != 0 && token[me] == mine && !kept ->
#ifdef NO_KEEP
     kept = true
#else
     /* The append is done at once, or later: then it is not yet known to be done. */
     atomic {
       if
       :: mine >= epoch -> record = report; kept = true
       :: late_append_what == 0 -> late_append_what = report; late_append_token = mine
       :: mine < epoch -> token[me] = 0
       fi
     }
#endif
  :: mine != 0 && token[me] == mine && kept ->
     atomic {
       if
       :: land_call(report, mine)
       :: late_call_what == 0 -> late_call_what = report; late_call_token = mine
       fi
     }
  :: token[me] != 0 -> token[me] = 0            /* its lease lapsed */
  :: deals == 4 && token[me] == 0 -> break
  od
}

proctype World() {
  do
  :: atomic { deals < 4 -> deals++; last_token++; token[0] = last_token }
  :: atomic { deals < 4 -> deals++; last_token++; token[1] = last_token }
  :: atomic { late_append_what != 0 ->
       land_append(late_append_what, late_append_token);
       late_append_what = 0; late_append_token = 0 }
  :: atomic { late_call_what != 0 ->
       land_call(late_call_what, late_call_token);
       late_call_what = 0; late_call_token = 0 }
  od
}

init { atomic { run World(); run Box(0); run Box(1) } }
