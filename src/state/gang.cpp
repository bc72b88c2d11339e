#include "state/gang.hpp"

namespace elmstall::state {

bool is_valid_transition(Gang::State from, Gang::State to) {
  using State = Gang::State;
  // A task that completes completes the gang, whatever its state.
  if (to == State::done) return from != State::done;
  switch (from) {
    case State::waiting:
      return to == State::claiming || to == State::starting;
    case State::claiming:
      return to == State::waiting || to == State::starting;
    case State::starting:
      return to == State::running || to == State::stopping || to == State::ending;
    case State::running:
      return to == State::stopping || to == State::ending;
    case State::stopping:
      return to == State::ending || to == State::waiting;
    case State::ending:
      return to == State::waiting;
    case State::done:
      return false;
  }
  return false;  // reached only if memory is corrupted: the switch names every state
}

const char* to_text(Gang::State state) {
  switch (state) {
    case Gang::State::waiting:
      return "waiting";
    case Gang::State::claiming:
      return "claiming";
    case Gang::State::starting:
      return "starting";
    case Gang::State::running:
      return "running";
    case Gang::State::stopping:
      return "stopping";
    case Gang::State::ending:
      return "ending";
    case Gang::State::done:
      return "done";
  }
  return "invalid";  // reached only if memory is corrupted: the switch names every state
}

}  // namespace elmstall::state
