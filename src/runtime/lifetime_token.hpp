/// @file
/// Detection of callbacks that arrive after the object they are meant for has been destroyed.
#pragma once

#include <memory>

namespace elmstall::runtime {

/// Held as a member by an object whose callbacks may run after its destruction. Each callback
/// captures an observer and asks it before it touches the object.
///
/// The token says only whether the object still exists; it does not keep the object alive. The
/// answer holds for as long as the object can't be destroyed in between, which is the case on the
/// single thread of an event loop.
class LifetimeToken {
 public:
  /// Tells whether the owner of the token has been destroyed. May be copied and may outlive it.
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
