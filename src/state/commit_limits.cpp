#include "state/commit_limits.hpp"

#include <algorithm>

#include "config/constants.hpp"
#include "store/records.hpp"

namespace elmstall::state {

namespace k = constants;

namespace {

/// Bytes in one KiB, the unit in which the settings give the largest value.
constexpr double kBytesPerKib = 1024;
/// Share of a transaction's writes that values of the log may take; the rest is for final
/// states, which take two writes each.
constexpr double kValueShareOfWrites = 0.5;

}  // namespace

std::size_t CommitLimits::value_bytes() const {
  const auto bytes = store::value_bytes(settings_.state_limits().value_kb);
  return static_cast<std::size_t>(static_cast<double>(bytes) * scale_);
}

std::size_t CommitLimits::carried_bytes() const {
  const double value_kb = settings_.state_limits().value_kb;
  return static_cast<std::size_t>(value_kb * kBytesPerKib * k::kMaxLiveSlotShare * scale_);
}

std::size_t CommitLimits::max_writes() const {
  return static_cast<std::size_t>(settings_.state_limits().transaction_writes_max);
}

std::size_t CommitLimits::max_values() const {
  const double values = static_cast<double>(max_writes()) * kValueShareOfWrites * scale_;
  return std::max<std::size_t>(1, static_cast<std::size_t>(values));
}

CommitLimits::ShrinkResult CommitLimits::shrink() {
  accepted_ = 0;
  if (scale_ <= k::kCommitScaleMin) return ShrinkResult::already_smallest;
  scale_ = std::max(k::kCommitScaleMin, scale_ / 2);
  return ShrinkResult::shrunk;
}

void CommitLimits::on_accepted() {
  if (scale_ >= 1 || ++accepted_ < k::kCommitsBeforeScaleUp) return;
  accepted_ = 0;
  scale_ = std::min(1.0, scale_ * 2);
}

}  // namespace elmstall::state
