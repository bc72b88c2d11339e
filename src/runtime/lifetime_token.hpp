/// @file
/// Detection of callbacks that are called after the object they refer to has been destroyed.
#pragma once

#include <memory>

namespace elmstall::runtime {

/// A member of an object whose callbacks may run after its destruction. Each callback captures an
/// observer and checks it before it accesses the object.
///
/// The token does not keep the object alive. The result of a check stays valid only while the
/// object can't be destroyed concurrently, so the owner and its callbacks must run on the same
/// thread.
class LifetimeToken {
 public:
  /// Checks whether the owner of the token has been destroyed. It may be copied, and may outlive
  /// the owner.
  class Observer {
   public:
    /// True once the object that holds the token has been destroyed.
    [[nodiscard]] bool owner_destroyed() const { return sentinel_.expired(); }

   private:
    friend class LifetimeToken;
    explicit Observer(const std::shared_ptr<char>& sentinel) : sentinel_(sentinel) {}
    std::weak_ptr<char> sentinel_;
  };

  LifetimeToken() = default;
  ~LifetimeToken() = default;
  /// Not copyable: a copy could outlive the owner, and observers would then report that the owner
  /// still exists.
  LifetimeToken(const LifetimeToken&) = delete;
  LifetimeToken& operator=(const LifetimeToken&) = delete;

  /// Returns an observer for one callback.
  [[nodiscard]] Observer observe() const { return Observer(sentinel_); }

 private:
  /// Only its reference count matters.
  std::shared_ptr<char> sentinel_ = std::make_shared<char>();
};

}  // namespace elmstall::runtime
