#include "api/job_memory_limit.hpp"

#include "config/constants.hpp"

namespace elmstall::api {

namespace k = constants;

namespace {

/// Share of the limit up to which jobs of a priority are accepted.
double share_for(wire::Priority priority) {
  switch (priority) {
    case wire::Priority::idle:
      return 0.7;
    case wire::Priority::normal:
      return 0.8;
    case wire::Priority::high:
      return 0.9;
    case wire::Priority::critical:
      break;
  }
  return 1;
}

}  // namespace

JobMemoryLimit::JobMemoryLimit(double memory_mb)
    : limit_bytes_(memory_mb * k::kBytesPerMb * k::kJobMemoryShare) {}

bool JobMemoryLimit::allows(std::size_t jobs, std::size_t record_bytes,
                            wire::Priority priority) const {
  const double used_bytes = static_cast<double>(jobs) * k::kJobMemoryBytes +
                            static_cast<double>(record_bytes) * k::kJobMemoryPerRecordByte;
  return used_bytes < limit_bytes_ * share_for(priority);
}

}  // namespace elmstall::api
