#include "election/leadership_renewal.hpp"

#include <algorithm>
#include <utility>

#include "config/constants.hpp"

namespace elmstall::election {

namespace k = constants;
using store::Outcome;

LeadershipRenewal::LeadershipRenewal(Context context, std::uint64_t lease)
    : context_(std::move(context)), scope_(context_.queue), lease_(lease) {}

void LeadershipRenewal::tick(const std::vector<wire::MachineType>& machine_types) {
  const double now = context_.event_loop.now();
  if (now < next_renewal_) return;
  next_renewal_ = now + k::kRenewInterval;
  renew_lease();
  confirm_term(machine_types);
}

void LeadershipRenewal::renew_lease() {
  context_.store.renew(lease_, scope_.wrap([this](Outcome outcome) {
    if (outcome == Outcome::missing) lose("the lease ran out");
  }));
}

void LeadershipRenewal::confirm_term(const std::vector<wire::MachineType>& machine_types) {
  wire::Transaction transaction;
  transaction.preconditions = {{std::string(store::kTermKey), context_.mirror.term_revision()}};
  if (!machine_types_recorded_ && !machine_types.empty() && !context_.mirror.machine_types()) {
    const std::string key(store::kTypesKey);
    transaction.preconditions.push_back({key, 0});
    transaction.writes.push_back({key, store::encode(store::MachineTypesRecord{machine_types}), 0});
  }
  machine_types_recorded_ = true;
  const double sent_at = context_.event_loop.now();
  context_.store.commit(
      std::move(transaction), scope_.wrap([this, sent_at](const store::CommitResult& result) {
        if (result.outcome == Outcome::ok) context_.confirmed(sent_at);
        const bool term_over = std::find(result.failed.begin(), result.failed.end(),
                                         store::kTermKey) != result.failed.end();
        if (result.outcome == Outcome::conflict && term_over) lose("the term is over");
      }));
}

void LeadershipRenewal::lose(const char* reason) const {
  const auto lost = context_.lost;  // the call may destroy this object
  lost(reason);
}

}  // namespace elmstall::election
