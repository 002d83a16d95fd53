// The ledger of memory: bytes held for clients, workers, discovery and operators, against one budget. No I/O
// and no clock. A charge is refused rather than overdrawn, and is given back once, by its destructor.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace wingslip {

enum class Account : unsigned { clients, workers, discovery, operators };
constexpr std::size_t kAccounts = 4;
constexpr std::array<std::string_view, kAccounts> kAccountNames{"clients", "workers", "discovery",
                                                                "operators"};

class MemoryBudget {
 public:
  struct Shares {
    std::size_t total = 0;
    std::array<std::size_t, kAccounts> kept{};  // of the total: what no other account can take
  };

  // What is held for one owner. An empty one is in no ledger and can hold nothing.
  class Charge {
   public:
    Charge() = default;
    Charge(Charge&& other) noexcept;
    Charge& operator=(Charge&& other) noexcept;
    ~Charge() { release(); }

    // To this many bytes from now on. More than there is room for: false, and it stays as it was.
    [[nodiscard]] bool resize(std::size_t bytes);
    void shrinkTo(std::size_t bytes);  // never grows
    void release() { shrinkTo(0); }
    // What it holds now stands as long as the owner does: no pressure that requests could relieve.
    void fix();
    // Hands this much of it on, or all that does not stand where that is less.
    Charge split(std::size_t bytes);
    std::size_t bytes() const { return bytes_; }

   private:
    friend class MemoryBudget;
    Charge(MemoryBudget* ledger, Account account) : ledger_(ledger), account_(account) {}
    MemoryBudget* ledger_ = nullptr;
    Account account_ = Account::clients;
    std::size_t bytes_ = 0, fixed_ = 0;
  };

  // Throws std::invalid_argument if the kept parts are more than the total.
  explicit MemoryBudget(const Shares& shares);
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  Charge open(Account account) { return {this, account}; }
  // How many bytes more an account could have now.
  std::size_t room(Account account) const;
  // Whether it would stay under this mark of what varies. What holds much asks so, and leaves the rest to
  // what holds little.
  bool staysUnder(double mark, Account account, std::size_t more) const;

  std::size_t total() const { return shares_.total; }
  std::size_t held() const { return held_; }
  std::size_t held(Account account) const { return accounts_[index(account)].held; }
  std::size_t most() const { return most_; }
  std::uint64_t refused(Account account) const { return accounts_[index(account)].refused; }

  // How the account stands that is nearest to its end: what it holds, of what it holds and could have, both
  // without what stands. Only clients and workers count, whose use is theirs to steer.
  struct Fill {
    std::size_t held = 0, reach = 0;
    double part() const { return held > 0 ? static_cast<double>(held) / static_cast<double>(reach) : 0; }
  };
  Fill fullest() const;

  // `crossed` is called when that part has come to `high` or more, and then when it has fallen to `low` or
  // less; `freed` after each release. They must not charge or release.
  void watch(double low, double high, std::function<void()> crossed, std::function<void()> freed);

 private:
  struct Sum {
    std::size_t held = 0, fixed = 0;
    std::uint64_t refused = 0;
  };
  static std::size_t index(Account account) { return static_cast<std::size_t>(account); }
  // What is set aside of an account's part and not used by it.
  std::size_t unused(std::size_t account) const;
  Fill fill(Account account) const;
  bool grow(Account account, std::size_t by);
  void shrink(Account account, std::size_t by);

  const Shares shares_;
  std::array<Sum, kAccounts> accounts_{};
  std::size_t held_ = 0, most_ = 0;
  double low_ = 0, high_ = 2;
  bool over_ = false;  // the high mark was passed, and the low one not reached since
  std::function<void()> crossed_, freed_;
};

// What a process may hold of a memory limit, or a total of 0 where the limit is too small for one.
struct Room {
  std::size_t limit = 0;      // bytes
  bool twoProcesses = false;  // an upgrade's two share the limit
  bool files = false;         // $TMPDIR is used, and counts as memory
};
MemoryBudget::Shares sharesOf(const Room& room);
std::size_t leastLimit(bool twoProcesses, bool files);

}  // namespace wingslip
