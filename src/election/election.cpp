#include "election/election.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "config/constants.hpp"

namespace elmstall::election {

namespace k = constants;
using store::Outcome;

Election::Election(Context context, std::string incarnation)
    : context_(std::move(context)), incarnation_(std::move(incarnation)), scope_(context_.queue) {}

bool Election::leadership_open() const {
  const auto& lead = context_.mirror.lead();
  if (!lead) return true;
  const bool ours = lead->node == context_.settings.node;
  return ours && !lead->incarnation.starts_with(incarnation_ + "/");
}

std::optional<Candidacy> Election::won_candidacy() const {
  const auto& lead = context_.mirror.lead();
  if (!lead || lead->node != context_.settings.node) return std::nullopt;
  if (lead->term != context_.mirror.term() || lead->term < context_.terms.term())
    return std::nullopt;
  const auto found =
      std::find_if(candidacies_.begin(), candidacies_.end(),
                   [&](const Candidacy& candidacy) { return candidacy.name == lead->incarnation; });
  if (found == candidacies_.end()) return std::nullopt;
  return *found;
}

bool Election::records_unreadable() {
  const bool earlier_layout = context_.mirror.earlier_layout();
  // The values may say which tasks are on which machines (rule 1).
  const bool unreadable_log = !context_.mirror.unreadable_slots().empty();
  if (!earlier_layout && !unreadable_log) return false;
  if (std::exchange(unreadable_records_logged_, true)) return true;
  if (earlier_layout) {
    spdlog::error(
        "the state service holds records of an earlier layout below {}block/ or host/: not "
        "standing for leadership",
        store::kLivePrefix);
  } else {
    spdlog::error("{} can't be read: not standing for leadership",
                  store::slot_key(*context_.mirror.unreadable_slots().begin()));
  }
  return true;
}

void Election::evaluate() {
  if (role_ == Role::leader || !context_.mirror.loaded() || records_unreadable()) return;
  if (const auto candidacy = won_candidacy()) return become_leader(*candidacy);
  if (!leadership_open() || role_ == Role::candidate) {
    candidacy_due_at_.reset();
    return;
  }
  const double now = context_.event_loop.now();
  if (!candidacy_due_at_)
    candidacy_due_at_ = now + context_.event_loop.random() * k::kElectionJitter;
  if (now >= *candidacy_due_at_) start_candidacy();
}

void Election::become_leader(const Candidacy& candidacy) {
  role_ = Role::leader;
  // Each candidacy wins at most once, because tokens and names of provisioning requests of a term
  // must not be used again (rule 10).
  candidacies_.clear();
  context_.elected(candidacy);
}

void Election::start_candidacy() {
  role_ = Role::candidate;
  candidacy_due_at_.reset();
  context_.store.grant(k::kLeadLease, scope_.wrap([this](const store::GrantResult& granted) {
    // Another node may have won while the lease was being granted.
    const bool still_open = role_ != Role::leader && leadership_open();
    if (granted.outcome == Outcome::ok && still_open) return request_leadership(granted.lease);
    back_off(k::kStateRetry);
  }));
}

void Election::request_leadership(std::uint64_t lease) {
  const auto& mirror = context_.mirror;
  const auto term = mirror.term() + 1;
  const Candidacy candidacy{incarnation_ + "/" + std::to_string(next_candidacy_++), lease,
                            context_.event_loop.now()};
  candidacies_.push_back(candidacy);
  if (candidacies_.size() > k::kCandidaciesKept) candidacies_.erase(candidacies_.begin());
  const store::LeadRecord lead{context_.settings.node, candidacy.name, term};
  wire::Transaction transaction;
  transaction.preconditions = {{std::string(store::kTermKey), mirror.term_revision()},
                               {std::string(store::kLeadKey), mirror.lead_revision()}};
  transaction.writes = {{std::string(store::kTermKey), store::encode(store::TermRecord{term}), 0},
                        {std::string(store::kLeadKey), store::encode(lead), lease}};
  context_.store.commit(std::move(transaction),
                        scope_.wrap([this](const store::CommitResult& result) {
                          // The candidacy counts as won only when the mirror shows it, because the
                          // mirror must then hold everything that was committed before this term.
                          // If it shows it too late, the lease has expired, and this node
                          // starts another candidacy.
                          back_off(result.outcome == Outcome::ok ? k::kLeadLease : k::kStateRetry);
                        }));
}

void Election::back_off(double delay_s) {
  context_.event_loop.after(delay_s, scope_.wrap([this] {
    if (role_ != Role::leader) role_ = Role::follower;
    evaluate();
  }));
}

}  // namespace elmstall::election
