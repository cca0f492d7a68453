/* The fold of the bundles stream: racing publishers, late effects, carry-forward, trimming, boxes
 * that start with nothing.
 *
 * A bundle is a number: 0 none; 1 = the first; 2 and 3 race on base 1; 4 has base 2; 5 has base 3.
 * Each append of an operator may land late. Two boxes fold; one carries forward; one starts late,
 * after the log was trimmed, and may take what the other has in force.
 *
 * Properties: two boxes never have different bundles of one sequence in force, nor a bundle whose base
 * lost; the sequence in force never decreases.  Guards removed by macros: BASE, ANCHOR, FOLDED_TO, CARRY_ANCHORED.
 */
#define LOGMAX 5
#define CARRIES 1
byte what[LOGMAX];                   /* bundle */
bool carried[LOGMAX];
byte folded_to[LOGMAX];
byte tail, first;
byte in_force[2];
bool ever[6];                        /* was in force on some box */
bool anchored[2];
byte next[2], gap[2];
byte carry_what, carry_to;           /* a carry that has not taken effect yet; 0 for none */
byte carries;

#define SEQ(b) ((b) == 0 -> 0 : ((b) == 1 -> 1 : ((b) <= 3 -> 2 : 3)))
#define BASE(b) ((b) <= 1 -> 0 : ((b) <= 3 -> 1 : (b) - 2))

#define FITS(b, i) (BASE(b) == in_force[i] && SEQ(b) == SEQ(in_force[i]) + 1)

inline put(b, c, f) {
  skip;
  if
  :: tail < LOGMAX -> what[tail] = b; carried[tail] = c; folded_to[tail] = f; tail++
  :: else -> skip
  fi
}

/* An operator publishes at any time, also on a base that lost its race; the append may be late. */
proctype Operator(byte b) {
  atomic { put(b, false, 0) }
}

inline take(i, b) {
  assert(SEQ(b) > SEQ(in_force[i]));
  in_force[i] = b; ever[b] = true
}

inline fold_anchored(i, b, c) {
  if
  :: SEQ(b) <= SEQ(in_force[i]) -> skip
  :: SEQ(b) > SEQ(in_force[i]) && c -> take(i, b)
#ifdef NO_BASE
  :: SEQ(b) > SEQ(in_force[i]) && !c -> take(i, b)
#else
  :: SEQ(b) > SEQ(in_force[i]) && !c && FITS(b, i) -> take(i, b)
  :: SEQ(b) > SEQ(in_force[i]) && !c && !FITS(b, i) -> skip
#endif
  fi
}

inline read_one(i) {
  p = next[i]; next[i]++;
  if
  :: anchored[i] -> fold_anchored(i, what[p], carried[p])
#ifdef NO_ANCHOR
  :: !anchored[i] -> fold_anchored(i, what[p], carried[p])
#else
#ifdef NO_FOLDED_TO
  :: !anchored[i] && carried[p] ->
     if :: SEQ(what[p]) > SEQ(in_force[i]) -> take(i, what[p]) :: else -> skip fi;
     anchored[i] = true
#else
  :: !anchored[i] && carried[p] && folded_to[p] >= gap[i] ->
     if :: SEQ(what[p]) > SEQ(in_force[i]) -> take(i, what[p]) :: else -> skip fi;
     anchored[i] = true;
     q = folded_to[p];                /* records put aside since folded_to */
     do
     :: q < p -> fold_anchored(i, what[q], carried[q]); q++
     :: else -> break
     od
  :: !anchored[i] && carried[p] && folded_to[p] < gap[i] -> skip
#endif
  :: !anchored[i] && !carried[p] -> skip
#endif
  fi
}

proctype Box(byte i; bool starts_late) {
  byte p, q;
  if
  :: starts_late -> (first > 0)
  :: else -> skip
  fi;
end:
  do
  :: atomic { next[i] < first -> next[i] = first; gap[i] = first; anchored[i] = false }
  :: atomic { next[i] >= first && next[i] < tail -> read_one(i); p = 0; q = 0 }
     /* what a peer has in force */
  :: atomic { SEQ(in_force[1 - i]) > SEQ(in_force[i]) -> take(i, in_force[1 - i]) }
#ifdef NO_CARRY_ANCHORED
  :: atomic { carry_what == 0 && carries < CARRIES && in_force[i] != 0 ->
#else
  :: atomic { carry_what == 0 && carries < CARRIES && in_force[i] != 0 && anchored[i] ->
#endif
       carries++; carry_what = in_force[i]; carry_to = next[i] }
  od
}

proctype Platform() {
end:
  do
  :: atomic { carry_what != 0 -> put(carry_what, true, carry_to); carry_what = 0; carry_to = 0 }
     /* The first bundle is trimmed only once something was appended behind it. */
  :: atomic { first < tail && tail > 1 -> first++ }
  od
}

init {
  atomic {
    anchored[0] = true; anchored[1] = true;
    put(1, false, 0);
    run Operator(2); run Operator(3); run Operator(4); run Operator(5);
    run Box(0, false); run Box(1, true); run Platform()
  }
}

active proctype Monitor() {
end:
  do
  :: atomic { SEQ(in_force[0]) == SEQ(in_force[1]) && in_force[0] != in_force[1] -> assert(false) }
  :: atomic { (ever[2] && (ever[3] || ever[5])) || (ever[3] && ever[4]) -> assert(false) }
  od
}
