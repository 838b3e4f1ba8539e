// Bounds the bytes that a process holds for requests: answers that are being
// collected, bodies that are being received, output that callers don't read.
// Each of these has a limit of its own; this is the limit of their sum. When it
// is exceeded, the holder that has grown most ends, and those whose end does
// least harm end first. No I/O; used from one thread.
#ifndef SAMPHIREHILL_LIMITS_BYTEBUDGET_H
#define SAMPHIREHILL_LIMITS_BYTEBUDGET_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <utility>

namespace samphirehill {

// What bytes are held for, in the order in which holders end.
enum class ByteUse {
  Failure, // an upstream's failure, or bytes that form no answer yet
  Output,  // output that a caller doesn't read
  Request, // the body of a caller's request
  Answer,  // an upstream's answer
};

std::string_view toString(ByteUse Use);

class ByteBudget {
public:
  // Holders of fewer bytes aren't counted.
  static constexpr std::size_t MinCountedBytes = 16'384;

  // Limit is in bytes.
  explicit ByteBudget(std::size_t Limit) : Limit(Limit) {}
  ByteBudget(const ByteBudget &) = delete;
  ByteBudget &operator=(const ByteBudget &) = delete;

  void setLimit(std::size_t Bytes) { Limit = Bytes; }
  std::size_t heldBytes() const { return Held; }

  // Called when a holder is to end, before its own function.
  std::function<void(ByteUse Use, std::size_t Bytes)> OnEnd;

private:
  friend class HeldBytes;
  struct Holder {
    ByteUse Use = ByteUse::Failure;
    std::size_t Bytes = 0;
    bool Ending = false;
    std::function<void()> End;
  };

  std::uint64_t add(std::function<void()> End);
  void set(std::uint64_t Id, ByteUse Use, std::size_t Bytes);
  void remove(std::uint64_t Id);
  // Ends holders until the rest is within the limit.
  void enforce();

  std::size_t Limit;
  std::size_t Held = 0;
  std::size_t HeldByEnding = 0;
  std::map<std::uint64_t, Holder> Holders;
  std::uint64_t LastId = 0;
};

// The bytes of one holder. Counts for none once it is destroyed or cleared.
class HeldBytes {
public:
  // End is called when the holder is to release its bytes. It may be called
  // while any holder's bytes are set, so it should only schedule that, and the
  // holder should then act if isEnding() still holds. Without End the bytes
  // count, but their holder never ends.
  HeldBytes(std::shared_ptr<ByteBudget> Budget, std::function<void()> End)
      : Budget(std::move(Budget)), End(std::move(End)) {}
  ~HeldBytes() { clear(); }
  HeldBytes(const HeldBytes &) = delete;
  HeldBytes &operator=(const HeldBytes &) = delete;

  void set(ByteUse Use, std::size_t Bytes);
  void clear();
  bool isEnding() const;

private:
  std::shared_ptr<ByteBudget> Budget;
  std::function<void()> End;
  std::uint64_t Id = 0; // 0: not counted
};

} // namespace samphirehill

#endif // SAMPHIREHILL_LIMITS_BYTEBUDGET_H
