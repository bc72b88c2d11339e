/// @file
/// The key of a machine pool. The cloud provisions machines per pool, so capacity and pending
/// requests are tracked per pool as well.
#pragma once

#include <string>
#include <tuple>

namespace elmstall::autoscaler {

/// All machines of one type, in one zone, that are either all spot or all ordinary machines.
struct PoolKey {
  std::string machine_type;  ///< name of the type at the cloud
  std::string zone;          ///< name of the zone at the cloud
  bool spot = false;         ///< spot machines, which the cloud may take back

  /// Orders by machine type, then by zone, then ordinary before spot.
  friend bool operator<(const PoolKey& a, const PoolKey& b) {
    return std::tie(a.machine_type, a.zone, a.spot) < std::tie(b.machine_type, b.zone, b.spot);
  }
};

/// Machines that should be added to one pool.
struct PoolScaleOut {
  PoolKey pool;      ///< where to provision them
  int machines = 0;  ///< how many more machines the pool should get
};

}  // namespace elmstall::autoscaler
