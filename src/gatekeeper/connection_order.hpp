/// An order of connections, oldest first, with constant-time insertion and removal.
#pragma once

#include <boost/intrusive/list.hpp>

namespace wingslip {

/// Connections in the order in which they were appended. Owns none of them.
class ConnectionOrder {
 public:
  /// A connection's position. It is in one order at a time, or in none, and leaves it when destroyed.
  class Entry
      : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
   public:
    Entry() = default;
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;
    void leaveOrder() { unlink(); }
    bool inOrder() const { return is_linked(); }
  };

  /// Makes `entry` the newest of this order; it leaves the one that it is in.
  void append(Entry& entry) {
    entry.leaveOrder();
    entries_.push_back(entry);
  }
  bool empty() const { return entries_.empty(); }
  /// The one that was appended first; null where there is none.
  Entry* oldest() { return entries_.empty() ? nullptr : &entries_.front(); }

 private:
  boost::intrusive::list<Entry, boost::intrusive::constant_time_size<false>> entries_;
};

}  // namespace wingslip
