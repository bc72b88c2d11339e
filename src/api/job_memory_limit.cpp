#include "api/job_memory_limit.hpp"

#include "config/constants.hpp"

namespace elmstall::api {

namespace k = constants;

namespace {

/// Share of the limit up to which jobs of a priority are accepted.
double share_for(wire::Priority priority) {
  switch (priority) {
    case wire::Priority::idle:
      return k::kJobMemoryShareIdle;
    case wire::Priority::normal:
      return k::kJobMemoryShareNormal;
    case wire::Priority::high:
      return k::kJobMemoryShareHigh;
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
