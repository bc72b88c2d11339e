/// \file
/// The text of a valid settings file, which tests change line by line.
#pragma once

namespace elmstall::test {

inline constexpr const char* kValidSettings = R"(node_name = "n-0"
area = "east"
api_addr = "127.0.0.1:8080"
mesh_addr = "127.0.0.1:8081"
novelty = 1
[[known]]
node_name = "n-1"
area = "west"
endpoint = "127.0.0.1:9081"
[endpoints]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[deployment]
zones = ["east", "west"]
skew_ms = 100.0
[[deployment.teams]]
name = "a"
gpus_max = 8.0
[[deployment.objectives]]
kind = "wait"
class = "x"
within_s = 10.0
share = 0.8
[deployment.workers]
report_s = 1.5
lease_s = 10.0
cancel_s = 40.0
[deployment.state]
rps = 120.0
write_rps = 25.0
value_kb = 4.0
txn_ops = 8
[deployment.cloud]
rps = 8.0
list_lag_s = 3.0
[deployment.quota]
cores = 0.096
memory_mb = 56.0
fd_limit = 900
)";

}  // namespace elmstall::test
