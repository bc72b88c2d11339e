/// @file
/// A map from job ids to values, of limited size.
#pragma once

#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

namespace elmstall::store {

/// Keeps one immutable value for each of the jobs that were inserted last.
template <typename Value>
class RecentJobs {
 public:
  /// `limit`: largest number of jobs; beyond it the oldest is evicted.
  explicit RecentJobs(std::size_t limit) : limit_(limit) {}

  /// The value of the job, or null.
  [[nodiscard]] const Value* find(const std::string& job) const {
    const auto found = values_.find(job);
    return found == values_.end() ? nullptr : &found->second;
  }
  /// Inserts the value. A job that has a value already keeps it.
  void insert(const std::string& job, Value value) {
    if (values_.emplace(job, std::move(value)).second) order_.push_back(job);
    if (order_.size() <= limit_) return;
    values_.erase(order_.front());
    order_.pop_front();
  }
  /// Number of jobs in the map.
  [[nodiscard]] std::size_t size() const { return order_.size(); }

 private:
  std::size_t limit_;
  std::unordered_map<std::string, Value> values_;
  std::deque<std::string> order_;  ///< the jobs of values_, the oldest first
};

}  // namespace elmstall::store
