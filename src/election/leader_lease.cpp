#include "election/leader_lease.hpp"

#include <algorithm>
#include <utility>

#include "config/constants.hpp"

namespace elmstall::election {

LeaderLease::LeaderLease(const config::Settings& settings, const runtime::EventLoop& event_loop,
                         const ReadIndex& read_index, double confirmed_at,
                         CommonOutage common_outage)
    : settings_(settings),
      loop_(event_loop),
      read_index_(read_index),
      confirmed_at_(confirmed_at),
      common_outage_(std::move(common_outage)) {}

void LeaderLease::confirm(double sent_at) { confirmed_at_ = std::max(confirmed_at_, sent_at); }

double LeaderLease::age() const {
  return loop_.now() - std::min(confirmed_at_, read_index_.current_as_of());
}

bool LeaderLease::valid() const { return age() < settings_.leader_lease_s(); }

bool LeaderLease::may_start_tasks() const {
  return age() < constants::kTaskStartMaxRecordsAge || common_outage_();
}

}  // namespace elmstall::election
