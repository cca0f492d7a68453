/* Bills: made, witnessed, batched, released; an owner that dies, a log that loses answers.
 *
 * One owner with one finished request, two witnesses; at most one box dies (the brief's "together or
 * twice" is two failures: one box and any number of lost or late answers of the log). A reader folds the
 * stream. At the end, when nothing moves any more, the request whose answer left is billed once.
 *
 * Guards removed by macros: WITNESS, RELEASE_AFTER, DEDUPE, TAKE_OVER, KEEP_UNTIL_ACK.
 */
bool made, answered;            /* the end of the answer left */
bool owner_dead, owner_done;
bool holds[2], dead[2];
byte copies;                    /* copies of the bill in the log */
byte late;                      /* appends that will take effect later */
byte deaths;

/* An append of the bill; `ack` is whether the writer heard of it. */
inline append(ack) {
  if
  :: copies < 6 -> copies++; ack = true
  :: copies < 6 -> copies++; ack = false        /* acknowledgement lost */
  :: late < 2 -> late++; ack = false            /* takes effect later */
  :: ack = false
  fi
}

proctype Owner() {
  bool ack; byte tries;
  made = true;
#ifndef NO_WITNESS
  (owner_dead || (holds[0] || dead[0]) && (holds[1] || dead[1]));
#endif
  if :: atomic { !owner_dead -> answered = true } :: owner_dead -> goto end fi;
  do
  :: atomic { !owner_dead && tries < 3 -> append(ack); tries++ };
     if
#ifdef NO_KEEP_UNTIL_ACK
     :: true -> break
#else
     :: ack -> break
     :: else -> skip
#endif
     fi
  :: atomic { !owner_dead && tries == 3 -> copies++; ack = true }; break  /* the log came back */
  :: owner_dead -> goto end
  od;
  owner_done = true;
  if :: atomic { !owner_dead -> holds[0] = false } :: owner_dead fi;
  if :: atomic { !owner_dead -> holds[1] = false } :: owner_dead fi;
end:
  skip
}

proctype Witness(byte i) {
  bool ack; byte tries;
  if
  :: atomic { made && !owner_dead && !dead[i] -> holds[i] = true }
  :: dead[i] || owner_dead -> goto end
  fi;
#ifdef NO_RELEASE_AFTER
  holds[i] = false;               /* dropped before the owner's append is known */
#endif
#ifndef NO_TAKE_OVER
  /* The owner looks dead: it is, or it is only paused; a witness may not know. */
  do
  :: holds[i] && !dead[i] && tries < 2 -> atomic { append(ack); tries++ };
     if :: ack -> holds[i] = false; break :: else -> skip fi
  :: holds[i] && !dead[i] && tries == 2 -> atomic { copies++; holds[i] = false }; break
  :: !holds[i] || dead[i] -> break
  od;
#endif
end:
  skip
}

proctype World() {
  do
  :: atomic { late > 0 -> late--; if :: copies < 7 -> copies++ :: else -> skip fi }
  :: atomic { deaths < 1 -> deaths++;
       if
       :: owner_dead = true
       :: dead[0] = true; holds[0] = false
       :: dead[1] = true; holds[1] = false
       fi }
  :: timeout ->                      /* nothing moves any more */
#ifdef NO_DEDUPE
     assert(!answered || copies == 1);
#else
     assert(!answered || copies >= 1);   /* the reader drops repeats by key: one bill */
#endif
     break
  od
}

init { atomic { run World(); run Owner(); run Witness(0); run Witness(1) } }
