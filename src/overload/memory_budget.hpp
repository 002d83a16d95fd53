/// The memory budget: bytes charged for clients, workers, discovery and operators. No I/O and no clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace wingslip {

enum class Account : unsigned { clients, workers, discovery, operators };
constexpr std::size_t kAccounts = 4;
/// As in the `svc.memory` figures, in the order of `Account`.
constexpr std::array<std::string_view, kAccounts> kAccountNames{"clients", "workers", "discovery",
                                                                "operators"};

/// A charge is refused if it would exceed the budget, and is given back once, by its destructor. Used from
/// the event loop's thread only.
class MemoryBudget {
 public:
  /// Bytes.
  struct Shares {
    std::size_t total = 0;
    std::array<std::size_t, kAccounts> reserved{};  ///< of the total: for this account only
  };

  /// What one owner uses. A default-constructed charge belongs to no budget and cannot grow. Must not outlive
  /// its budget.
  class Charge {
   public:
    Charge() = default;
    Charge(Charge&& other) noexcept;
    Charge& operator=(Charge&& other) noexcept;
    ~Charge() { release(); }

    /// @return false if there is too little memory; the charge is then unchanged.
    [[nodiscard]] bool resize(std::size_t bytes);
    void shrinkTo(std::size_t bytes);  ///< never grows
    void release() { shrinkTo(0); }
    /// What is charged now stays as long as the owner exists: shedding requests would not free it, so it does
    /// not count as usage.
    void markPermanent();
    /// Splits off this many bytes, or all that is not permanent if that is less.
    Charge split(std::size_t bytes);
    std::size_t bytes() const { return bytes_; }

   private:
    friend class MemoryBudget;
    Charge(MemoryBudget* budget, Account account) : budget_(budget), account_(account) {}
    MemoryBudget* budget_ = nullptr;
    Account account_ = Account::clients;
    std::size_t bytes_ = 0;
    std::size_t permanent_ = 0;
  };

  /// Usage of an account without what is permanent: bytes in use, of those in use or available.
  struct Usage {
    std::size_t used = 0;
    std::size_t limit = 0;
    double share() const { return used > 0 ? static_cast<double>(used) / static_cast<double>(limit) : 0; }
  };

  /// @throws std::invalid_argument if more is reserved than the total.
  explicit MemoryBudget(const Shares& shares);
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  Charge open(Account account) { return {this, account}; }
  /// How many bytes more the account could be charged now.
  std::size_t available(Account account) const;
  /// Whether the account's usage with `bytes` more would be at most `mark`.
  bool staysUnder(double mark, Account account, std::size_t bytes) const;

  std::size_t total() const { return shares_.total; }
  std::size_t used() const { return used_; }
  std::size_t used(Account account) const { return accounts_[index(account)].used; }
  std::size_t peak() const { return peak_; }
  std::uint64_t refusals(Account account) const { return accounts_[index(account)].refusals; }

  /// The higher usage of clients and workers: only their use can be controlled.
  Usage highestUsage() const;

  /// @param onMarkCrossed called when the highest usage has reached `highMark`, and again when it has fallen
  /// to `lowMark`
  /// @param onFreed called after each release. Neither may charge or release.
  void observe(double lowMark, double highMark, std::function<void()> onMarkCrossed,
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
  double highMark_ = 2;     // never reached until `observe`
  bool aboveMark_ = false;  // the high mark was reached, and the low one not since
  std::function<void()> onMarkCrossed_;
  std::function<void()> onFreed_;
};

/// What a process may use of the machine's memory.
struct MemoryLimit {
  std::size_t bytes = 0;
  bool twoProcesses = false;  ///< shared by the two processes of a hot restart
  bool stateFiles = false;    ///< the state directory counts as memory
};

/// The budget of a process, or a total of 0 if the limit is below `minMemoryLimit`.
MemoryBudget::Shares sharesOf(const MemoryLimit& limit);
/// Bytes.
std::size_t minMemoryLimit(bool twoProcesses, bool stateFiles);

}  // namespace wingslip
