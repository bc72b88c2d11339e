/// @file
/// A memory for something about each of many jobs, of limited size.
#pragma once

#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

namespace elmstall::store {

/// Remembers a value that never changes for each of the jobs that were added last.
template <typename Value>
class RecentJobs {
 public:
  /// `limit`: number of jobs that are remembered; beyond it the oldest is forgotten.
  explicit RecentJobs(std::size_t limit) : limit_(limit) {}

  /// What is remembered of the job, or null.
  [[nodiscard]] const Value* find(const std::string& job) const {
    const auto found = values_.find(job);
    return found == values_.end() ? nullptr : &found->second;
  }
  /// Remembers the value. A job that is remembered already keeps its value.
  void insert(const std::string& job, Value value) {
    if (values_.emplace(job, std::move(value)).second) order_.push_back(job);
    if (order_.size() <= limit_) return;
    values_.erase(order_.front());
    order_.pop_front();
  }
  /// Number of jobs that are remembered.
  [[nodiscard]] std::size_t size() const { return order_.size(); }

 private:
  std::size_t limit_;
  std::unordered_map<std::string, Value> values_;
  std::deque<std::string> order_;  ///< the jobs of values_, the oldest first
};

}  // namespace elmstall::store
