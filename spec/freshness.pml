/* The freshness rule, three boxes: who may still dispatch on a bundle that was replaced.
 *
 * Any read of the log and any exchange between boxes may happen or not, which is every pattern of
 * cuts; a reply to the observed box 0 may wait in a socket while box 0 is paused; boxes 1 and 2 may
 * restart with nothing. A publisher appends bundle 2, which withdraws a version of bundle 1, and
 * counts it as in force once a majority of the listed boxes confirmed it and a lease has passed.
 * Times are ages that stop counting behind the lease, so the search is over all lengths of time.
 * The rule is the same on each box, so only box 0's dispatches are looked at.
 *
 * Property: once bundle 2 counts as in force, box 0 does not dispatch by bundle 1.
 * Guards removed by macros: LEASE, MAJORITY, CONFIRM, ECHO, NEWER_FIRST, PROVED, BEHIND.
 */
#define N 3
#define LEASE_AGE 2              /* ages up to this are within the lease */
#define OLD 3                    /* older than the lease */

byte log_seq = 1;
byte seq[N] = 1;
byte fresh[N];                   /* age of what each box knows of the log */
byte seen[N];                    /* age of box 0's word of box 1 and 2 */
byte born[N];                    /* age of the box's incarnation */
bool proved[N] = true;           /* learnt something of the log since it started */
bool waiting;                    /* a reply to box 0 under way: */
bool r_proved; byte r_from, r_seq, r_fresh; /* who, its sequence, its freshness when it answered */
byte r_age;                      /* since box 0 asked */
bool behind;                     /* box 0 heard of a newer bundle and has not got it */
bool confirmed; byte since;      /* age of the confirmation by a majority */

#define IN_FORCE (confirmed && since > LEASE_AGE)
#define CONFIRMERS ((seq[0] >= 2) + (seq[1] >= 2) + (seq[2] >= 2))
#define SUM(a, b) ((a) + (b) >= OLD -> OLD : (a) + (b))

inline grow(age) {
  if :: age < OLD -> age++ :: else -> skip fi
}

#define YOUNG(age) ((age) < OLD)
#define ANY_YOUNG (YOUNG(fresh[0]) || YOUNG(fresh[1]) || YOUNG(fresh[2]) || YOUNG(seen[1]) \
  || YOUNG(seen[2]) || YOUNG(born[1]) || YOUNG(born[2]) || (waiting && YOUNG(r_age)) || (confirmed && YOUNG(since)))

proctype Time() {
end:
  do
  :: atomic { ANY_YOUNG ->
       grow(fresh[0]); grow(fresh[1]); grow(fresh[2]); grow(seen[1]); grow(seen[2]);
       grow(born[1]); grow(born[2]);
       if :: waiting -> grow(r_age) :: else -> skip fi;
       if :: confirmed -> grow(since) :: else -> skip fi }
  od
}

inline read_log(i) {
  seq[i] = log_seq; fresh[i] = 0; proved[i] = true;
  if :: i == 0 -> behind = false :: else -> skip fi
}

/* Box i asks box j and hears at once; box 0's replies may wait instead. */
#define NEWER(i, j) (seq[j] > seq[i])
#define FRESHER(i, j) (seq[j] <= seq[i] && fresh[j] < fresh[i] && fresh[j] < born[i])

proctype World() {
end:
  do
  :: atomic { log_seq == 1 -> log_seq = 2 }
  :: atomic { seq[0] != log_seq || fresh[0] != 0 -> read_log(0) }
  :: atomic { seq[1] != log_seq || fresh[1] != 0 -> read_log(1) }
  :: atomic { seq[2] != log_seq || fresh[2] != 0 -> read_log(2) }
  :: atomic { NEWER(1, 0) -> seq[1] = seq[0] }
  :: atomic { FRESHER(1, 0) -> fresh[1] = fresh[0]; proved[1] = true }
  :: atomic { NEWER(1, 2) -> seq[1] = seq[2] }
  :: atomic { FRESHER(1, 2) -> fresh[1] = fresh[2]; proved[1] = true }
  :: atomic { NEWER(2, 0) -> seq[2] = seq[0] }
  :: atomic { FRESHER(2, 0) -> fresh[2] = fresh[0]; proved[2] = true }
  :: atomic { NEWER(2, 1) -> seq[2] = seq[1] }
  :: atomic { FRESHER(2, 1) -> fresh[2] = fresh[1]; proved[2] = true }
     /* A restart: nothing is known until the log or a peer says so. */
  :: atomic { seq[1] != 0 -> seq[1] = 0; fresh[1] = OLD; born[1] = 0;
       proved[1] = false }
  :: atomic { seq[2] != 0 -> seq[2] = 0; fresh[2] = OLD; born[2] = 0;
       proved[2] = false }
  :: atomic { !waiting -> waiting = true; r_from = 1; r_seq = seq[1]; r_fresh = fresh[1];
       r_proved = proved[1]; r_age = 0 }
  :: atomic { !waiting -> waiting = true; r_from = 2; r_seq = seq[2]; r_fresh = fresh[2];
       r_proved = proved[2]; r_age = 0 }
  :: atomic { waiting ->
#ifdef NO_ECHO
       r_age = 0;
#endif
#ifdef NO_PROVED
       seen[r_from] = r_age;
#else
       if :: r_proved -> seen[r_from] = r_age :: else -> skip fi;
#endif
       if
       :: r_seq > seq[0] ->
          behind = true                    /* it asks for the bundle, which comes later */
#ifdef NO_NEWER_FIRST
          ; fresh[0] = SUM(r_fresh, r_age) /* renewed by what this box has not got yet */
#endif
       :: r_seq <= seq[0] && SUM(r_fresh, r_age) < fresh[0] -> fresh[0] = SUM(r_fresh, r_age)
       :: r_seq <= seq[0] && SUM(r_fresh, r_age) >= fresh[0] -> skip
       fi;
       waiting = false; r_proved = false; r_from = 0; r_seq = 0; r_fresh = 0; r_age = 0 }
  :: atomic { behind -> seq[0] = 2; behind = false }
#ifdef NO_CONFIRM
  :: atomic { !confirmed && log_seq == 2 -> confirmed = true }
#else
  :: atomic { !confirmed && CONFIRMERS >= 2 -> confirmed = true }
#endif
  od
}

#ifdef NO_LEASE
#define MAY_DISPATCH (seq[0] > 0)
#else
#ifdef NO_MAJORITY
#define MAY_DISPATCH (fresh[0] <= LEASE_AGE || true)
#else
#ifdef NO_BEHIND
#define COUNTS true
#else
#define COUNTS (!behind)
#endif
#define MAY_DISPATCH (fresh[0] <= LEASE_AGE || COUNTS && (seen[1] <= LEASE_AGE || seen[2] <= LEASE_AGE))
#endif
#endif

init {
  atomic {
    fresh[0] = OLD; fresh[1] = OLD; fresh[2] = OLD; seen[1] = OLD; seen[2] = OLD;
    born[0] = OLD; born[1] = OLD; born[2] = OLD;
    run Time(); run World()
  }
}

active proctype Monitor() {
end:
  do
  :: atomic { IN_FORCE && seq[0] == 1 && MAY_DISPATCH -> assert(false) }
  od
}
