#include "election/read_index.hpp"

#include <algorithm>

namespace elmstall::election {

void ReadIndex::request(double patience_s, Waiter waiter) {
  next_.push_back({loop_.now(), loop_.now() + patience_s, 0, std::move(waiter)});
  probe();
}

void ReadIndex::probe() {
  if (probing_ || next_.empty()) return;
  // Polls follow each other without a pause; a request for each of them would
  // take the state service's rate from the commits that all wait for.
  const double now = loop_.now();
  if (now < next_probe_) return wake_.after(next_probe_ - now, [this] { probe(); });
  next_probe_ = now + gap_;
  probing_ = true;
  std::vector<Waiting> covered;
  covered.swap(next_);
  store_.get(std::string(store::kProbeKey),
             scope_.wrap([this, covered](const store::GetResult& result) mutable {
               probing_ = false;
               if (result.outcome == store::Outcome::missing) {
                 last_success_ = loop_.now();
                 for (auto& one : covered) {
                   one.revision = result.revision;
                   waiting_.push_back(std::move(one));
                 }
               } else {
                 for (auto& one : covered) one.waiter(false);
               }
               check();
               probe();
             }));
}

void ReadIndex::check() {
  const double now = loop_.now();
  std::vector<Waiting> ready;
  std::vector<Waiting> left;
  for (auto& one : waiting_) {
    const bool current = mirror_.loaded() && mirror_.revision() >= one.revision;
    (current || one.deadline <= now ? ready : left).push_back(std::move(one));
  }
  waiting_ = std::move(left);
  for (auto& one : ready) {
    const bool current = mirror_.loaded() && mirror_.revision() >= one.revision;
    if (current) current_as_of_ = std::max(current_as_of_, one.asked);
    // Past its deadline nobody waits any more; a process that stood still must
    // not answer with what was current before.
    one.waiter(current && now < one.deadline);
  }
}

}  // namespace elmstall::election
