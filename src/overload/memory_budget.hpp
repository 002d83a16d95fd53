/// Accounting of the process's buffer memory, divided between clients, workers, discovery and operators.
/// Performs no I/O and reads no clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace wingslip {

/// The kind of peer for which memory is charged. `discovery` includes calls of the `HttpClient`.
enum class Account : unsigned { clients, workers, discovery, operators };
constexpr std::size_t kAccounts = 4;
/// Account names as they appear in the `svc.memory` metrics, in the order of `Account`.
constexpr std::array<std::string_view, kAccounts> kAccountNames{"clients", "workers", "discovery",
                                                                "operators"};

/// Limits the memory that is charged to it. A charge that would exceed the budget or use the reserve of
/// another account is refused; the destructor of a charge releases it exactly once. Owned by the
/// OverloadManager and used from the event loop's thread only.
class MemoryBudget {
 public:
  /// The size of the budget and of its reserves, in bytes.
  struct Shares {
    std::size_t total = 0;
    std::array<std::size_t, kAccounts> reserved{};  ///< part of `total` that only this account may use
  };

  /// The memory charged for one owner, released on destruction. A default-constructed charge belongs to no
  /// budget and cannot grow. A charge must not outlive its budget.
  class Charge {
   public:
    Charge() = default;
    Charge(Charge&& other) noexcept;
    Charge& operator=(Charge&& other) noexcept;
    ~Charge() { release(); }

    /// Sets the size of the charge. Shrinking always succeeds.
    /// @return false if too little memory is available; the charge is then unchanged.
    [[nodiscard]] bool resize(std::size_t bytes);
    void shrinkTo(std::size_t bytes);  ///< no effect if the charge is already smaller
    void release() { shrinkTo(0); }
    /// Marks the present bytes as charged for the owner's lifetime. Shedding requests would not free
    /// them, so `Usage` excludes them.
    void markPermanent();
    /// Moves `bytes` bytes into a new charge of the same account, or all bytes that are not permanent if
    /// there are fewer.
    Charge split(std::size_t bytes);
    /// @return the charged bytes, including the permanent ones.
    std::size_t bytes() const { return bytes_; }

   private:
    friend class MemoryBudget;
    Charge(MemoryBudget* budget, Account account) : budget_(budget), account_(account) {}
    MemoryBudget* budget_ = nullptr;
    Account account_ = Account::clients;
    std::size_t bytes_ = 0;
    std::size_t permanent_ = 0;
  };

  /// Usage of an account in bytes, without its permanent charges. `limit` is the sum of the used and the
  /// available bytes.
  struct Usage {
    std::size_t used = 0;
    std::size_t limit = 0;
    double share() const { return used > 0 ? static_cast<double>(used) / static_cast<double>(limit) : 0; }
  };

  /// @throws std::invalid_argument if the reserves exceed the total.
  explicit MemoryBudget(const Shares& shares);
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  /// @return an empty charge of this account.
  Charge open(Account account) { return {this, account}; }
  /// @return the bytes by which charges of this account can grow now.
  std::size_t available(Account account) const;
  /// @return whether the account's usage share would be at most `mark` (0 to 1) after `bytes` more.
  bool wouldStayWithin(double mark, Account account, std::size_t bytes) const;

  std::size_t total() const { return shares_.total; }
  std::size_t used() const { return used_; }
  std::size_t used(Account account) const { return accounts_[index(account)].used; }
  /// @return the most bytes that were in use at any time.
  std::size_t peak() const { return peak_; }
  /// @return how many times a charge of this account could not grow.
  std::uint64_t refusals(Account account) const { return accounts_[index(account)].refusals; }

  /// @return the usage of the clients' or the workers' account, whichever has the higher share. The
  /// gatekeeper cannot limit the use of the other accounts.
  Usage highestUsage() const;

  /// Sets the callbacks; neither may charge or release memory.
  /// @param lowMark, highMark watermarks as shares of the limit (0 to 1)
  /// @param onMarkCrossed called when the highest usage has reached `highMark`, and again when it has fallen
  /// to `lowMark`
  /// @param onFreed called after each release
  void setCallbacks(double lowMark, double highMark, std::function<void()> onMarkCrossed,
                    std::function<void()> onFreed);

 private:
  struct AccountState {
    std::size_t used = 0;
    std::size_t permanent = 0;
    std::uint64_t refusals = 0;
  };
  static std::size_t index(Account account) { return static_cast<std::size_t>(account); }
  std::size_t unusedReserve(std::size_t account) const;
  Usage usage(Account account) const;
  bool grow(Account account, std::size_t bytes);
  void shrink(Account account, std::size_t bytes);

  const Shares shares_;
  std::array<AccountState, kAccounts> accounts_{};
  std::size_t used_ = 0;
  std::size_t peak_ = 0;
  double lowMark_ = 0;
  double highMark_ = 2;     // above any share, so that no mark is crossed before `setCallbacks` is called
  bool aboveMark_ = false;  // hysteresis: set at the high mark, cleared at the low mark
  std::function<void()> onMarkCrossed_;
  std::function<void()> onFreed_;
};

/// The memory limit of the gatekeeper, and the processes and files that share it.
struct MemoryLimit {
  std::size_t bytes = 0;      ///< of all processes together
  bool twoProcesses = false;  ///< a handover's two processes share the limit
  bool stateFiles = false;    ///< the files of the state directory count as memory
};

/// @return the budget of one process, or a total of 0 if the limit is below `minMemoryLimit`.
MemoryBudget::Shares budgetSharesFor(const MemoryLimit& limit);
/// @return the smallest limit, in bytes, for which the budget is usable.
std::size_t minMemoryLimit(bool twoProcesses, bool stateFiles);

}  // namespace wingslip
