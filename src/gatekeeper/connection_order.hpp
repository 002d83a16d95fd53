/// A list of connections, oldest first, with insertion and removal in constant time.
#pragma once

#include <boost/intrusive/list.hpp>

namespace wingslip {

/// Connections in the order in which they were appended. Does not own them.
class ConnectionOrder {
 public:
  /// Base class of a connection. An entry is in at most one order at a time and leaves it when destroyed.
  class Entry
      : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
   public:
    Entry() = default;
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;
    void leaveOrder() { unlink(); }
    bool inOrder() const { return is_linked(); }
  };

  /// Appends `entry` as the newest; removes it from its present order first, if it is in one.
  void append(Entry& entry) {
    entry.leaveOrder();
    entries_.push_back(entry);
  }
  bool empty() const { return entries_.empty(); }
  /// The entry that was appended first; null if the order is empty.
  Entry* oldest() { return entries_.empty() ? nullptr : &entries_.front(); }

 private:
  boost::intrusive::list<Entry, boost::intrusive::constant_time_size<false>> entries_;
};

}  // namespace wingslip
