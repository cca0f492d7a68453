/* Calls that may not be repeated: claim, void, dispatch, refusal.
 *
 * One caller key, sent to two boxes, or again to a box that died and restarted. The log loses acknowledgements,
 * lets appends take effect late, and trims. A box may pause anywhere (interleaving), die and restart
 * empty with a new incarnation, and give up at any moment before it dispatches.
 *
 * Properties (assertions): at most one run a key; a "not run" refusal never beside a run of the same
 * sending.  Guards removed by macros: READ_BACK, FIRST_CLAIM, GIVE_UP, NOT_RUN, VOID_QUEUED, KEY_AGE.
 */
#define SENDINGS 2          /* nonces: two boxes, or one box and its next incarnation */
#define LOGMAX 6
#define CLAIM 0
#define VOID_ 1

byte kind[LOGMAX], nonce_of[LOGMAX];
byte tail, first;
bool late[SENDINGS + 1];     /* a claim that will take effect later */
bool late_void[SENDINGS + 1];
bool expired;                /* the key is older than the log's retention, less a margin */
byte runs;
bool ran[SENDINGS + 1], said_not_run[SENDINGS + 1];

inline put(k, n) {
  skip;
  if
  :: tail < LOGMAX -> kind[tail] = k; nonce_of[tail] = n; tail++
  :: else -> skip
  fi
}

/* The effect of an append: now, never, or late; the writer learns nothing from its answer. */
inline append_claim(n) {
  if
  :: atomic { put(CLAIM, n) }
  :: atomic { put(CLAIM, n); put(CLAIM, n) }   /* acknowledgement lost, sent again */
  :: late[n] = true
  :: skip
  fi
}

inline append_void(n) {
  if
  :: atomic { put(VOID_, n) }
  :: late_void[n] = true
  fi
}

proctype Sending(byte n) {
  byte pos, live, seen, voided, r, k;
  bool mine, first_mine, gave_up;

  pos = first;
  if
  :: expired -> goto done                       /* refused: unknown */
  :: else -> skip
  fi;
  append_claim(n);
#ifdef NO_READ_BACK
  goto won;
#endif
  do
  :: pos < first -> pos = first                 /* trimmed unread: the age check covers it */
  :: pos >= first && pos < tail -> atomic {
      k = kind[pos]; r = nonce_of[pos]; pos++;
      mine = false; first_mine = false;
      if
      :: k == VOID_ ->
         voided = voided | (1 << r);
         if :: live == r -> live = 0 :: else -> skip fi
      :: k == CLAIM && !(seen & (1 << r)) ->
         seen = seen | (1 << r);
         mine = (r == n);
         if
         :: !(voided & (1 << r)) && live == 0 -> live = r; first_mine = mine
         :: else -> skip
         fi
      :: else -> skip
      fi;
      r = 0; k = 0
     }
     if
#ifdef NO_FIRST_CLAIM
     :: mine -> goto won
#else
     :: first_mine && !gave_up -> goto won
#ifdef NO_GIVE_UP
     :: first_mine && gave_up -> goto won
#endif
     :: mine && !first_mine -> goto done        /* lost for good: already claimed, unknown */
#endif
     :: else -> skip
     fi
  :: !gave_up ->                                /* the deadline: refuse, void, never dispatch */
     gave_up = true; said_not_run[n] = true;
     append_void(n)
  :: goto done                                  /* the box dies, or the caller goes away */
  od;

won:
#ifndef NO_KEY_AGE
  if
  :: atomic { expired -> goto done }            /* refused: unknown */
  :: atomic { !expired -> runs++; ran[n] = true }
  fi;
#else
  atomic { runs++; ran[n] = true };
#endif
#ifdef NO_NOT_RUN
  said_not_run[n] = true;                       /* "not run" after the dispatch */
#endif
#ifdef NO_VOID_QUEUED
  append_void(n);                               /* a void after the dispatch */
#endif
done:
  atomic { pos = 0; live = 0; seen = 0; voided = 0; r = 0; k = 0; mine = 0; first_mine = 0; gave_up = 0 }
}

/* Late effects, trimming and ageing. The log trims a record only after the keys of that age are
 * refused: retention is longer than the age bound by a margin. */
proctype Platform() {
end:
  do
  :: atomic { late[1] -> late[1] = false; put(CLAIM, 1) }
  :: atomic { late[2] -> late[2] = false; put(CLAIM, 2) }
  :: atomic { late_void[1] -> late_void[1] = false; put(VOID_, 1) }
  :: atomic { late_void[2] -> late_void[2] = false; put(VOID_, 2) }
  :: atomic { !expired -> expired = true }
  :: atomic { expired && first < tail -> first++ }
  od
}

init {
  atomic { run Platform(); run Sending(1); run Sending(2) }
}

/* Checked in every state by a monitor without a step of its own to interleave. */
active proctype Monitor() {
end:
  do
  :: atomic { runs > 1 -> assert(false) }
  :: atomic { ran[1] && said_not_run[1] -> assert(false) }
  :: atomic { ran[2] && said_not_run[2] -> assert(false) }
  od
}
