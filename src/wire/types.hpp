/// @file
/// The messages of the external protocols as value types, with one header for each interface: the
/// cloud, users' jobs, the state store and the workers.
///
/// The protocols have field names of their own. These appear in this package only; the rest of the
/// program uses the terms in the right column (docs/design.md, "Glossary"):
///
/// | protocol                         | here                                                  |
/// |----------------------------------|-------------------------------------------------------|
/// | **all interfaces**               |                                                       |
/// | `uid`                            | `id` of a job or machine                              |
/// | `host`, `hosts`                  | machine, `machines`                                   |
/// | `build`, `builds`                | machine `type`, `types`, AllowedTypes                 |
/// | `yard`, `yards`                  | `zone`, `zones`                                       |
/// | `loaners`                        | `spot`                                                |
/// | `cores`, `cards`, `ram_gb`       | `cpus`, `gpus`, `memory_gb`                           |
/// | `status`                         | `state`                                               |
/// | **cloud** (wire/cloud.hpp)       |                                                       |
/// | `hire`                           | name of a provision request                           |
/// | `local_gb`                       | `cache_gb`                                            |
/// | `low_price`                      | `spot_price`                                          |
/// | `held_s`                         | `age_s`                                               |
/// | **jobs** (wire/jobs.hpp)         |                                                       |
/// | `lane`                           | `job_class`                                           |
/// | `owner`                          | `team`                                                |
/// | `shape`                          | `kind`                                                |
/// | `batch`, `daemon`, `group`       | `JobKind::array`, `JobKind::service`, `JobKind::gang` |
/// | `rank`                           | `priority`                                            |
/// | `shards`                         | `tasks`                                               |
/// | `scatter`                        | `spread`                                              |
/// | `bundle`, `pull_gb`              | `image`, `image_gb`                                   |
/// | `mark_every_s`, `mark_s`         | `checkpoint_every_s`, `checkpoint_s`                  |
/// | `withdrawn`                      | `JobState::cancelled`                                 |
/// | **state store** (wire/state.hpp) |                                                       |
/// | `stamp`                          | `mod_revision`, the modification revision             |
/// | `ledger_rev`                     | `revision`                                            |
/// | `guards`                         | `preconditions`                                       |
/// | `hold`, `/grants`, `life_ms`     | `lease`, leases, time to live of a lease              |
/// | `/follow`, `hold_ms`             | watch, longest wait of a watch                        |
/// | `under`, `most`                  | prefix, page size                                     |
/// | **workers** (wire/workers.hpp)   |                                                       |
/// | `shift`                          | `epoch`                                               |
/// | `tick`                           | `sequence`                                            |
/// | `baton`                          | `token`, the fencing token                            |
/// | `recall_s`                       | `interruption_in_s`                                   |
/// | `shard`, `try`                   | task name, `attempt`                                  |
/// | `flushing`                       | `TaskState::checkpointing`                            |
/// | `halted`                         | `EndCause::stopped`                                   |
/// | `kept`                           | `saved`                                               |
/// | `orders`                         | `commands`                                            |
/// | `kill`, `wind_down_s`            | `Verb::stop`, `grace_period_s`                        |
/// | `steward`                        | the controller to which a worker is redirected        |
///
/// Errors: all decode functions throw DecodeError (wire/codec.hpp), the only error type of this
/// package. Encode functions do not fail.
#pragma once

#include "wire/cloud.hpp"
#include "wire/jobs.hpp"
#include "wire/state.hpp"
#include "wire/workers.hpp"
