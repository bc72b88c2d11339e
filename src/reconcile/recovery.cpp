#include "reconcile/recovery.hpp"

namespace elmstall::reconcile {

void restore_from_records(const store::Mirror& mirror, const LeaseExpiry& lease_expiry,
                          state::Model& model, JobLifecycle& jobs) {
  for (const auto& [id, stored] : mirror.machines()) {
    const auto& record = stored.record;
    auto& machine = model.machine(id);
    model.update_attributes(machine, record.type, record.zone, record.spot, record.addr);
    machine.inherited_until = lease_expiry.inherited_until();
    machine.retired = record.retired;
    model.restore_record(machine, stored);
  }
  for (const auto& [id, job] : mirror.jobs()) jobs.restore(id, job.record);
}

}  // namespace elmstall::reconcile
