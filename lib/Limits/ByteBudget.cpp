#include "samphirehill/Limits/ByteBudget.h"

#include <utility>

namespace samphirehill {

std::string_view toString(ByteUse Use) {
  switch (Use) {
  case ByteUse::Failure:
    return "failure";
  case ByteUse::Output:
    return "output";
  case ByteUse::Request:
    return "request";
  case ByteUse::Answer:
    return "answer";
  }
  return "unknown";
}

std::uint64_t ByteBudget::add(std::function<void()> End) {
  Holders[++LastId].End = std::move(End);
  return LastId;
}

void ByteBudget::set(std::uint64_t Id, ByteUse Use, std::size_t Bytes) {
  Holder &Changed = Holders.at(Id);
  Held += Bytes - Changed.Bytes; // unsigned arithmetic wraps as intended
  if (Changed.Ending)
    HeldByEnding += Bytes - Changed.Bytes;
  Changed.Use = Use;
  Changed.Bytes = Bytes;
  enforce();
}

void ByteBudget::remove(std::uint64_t Id) {
  auto Found = Holders.find(Id);
  Held -= Found->second.Bytes;
  if (Found->second.Ending)
    HeldByEnding -= Found->second.Bytes;
  Holders.erase(Found);
}

void ByteBudget::enforce() {
  while (Held - HeldByEnding > Limit) {
    Holder *Chosen = nullptr;
    for (auto &[Id, Each] : Holders) {
      if (Each.Ending || Each.Bytes == 0 || !Each.End)
        continue;
      bool EndsBefore = !Chosen || Each.Use < Chosen->Use ||
                        (Each.Use == Chosen->Use && Each.Bytes > Chosen->Bytes);
      if (EndsBefore)
        Chosen = &Each;
    }
    if (!Chosen)
      return;
    Chosen->Ending = true;
    HeldByEnding += Chosen->Bytes;
    if (OnEnd)
      OnEnd(Chosen->Use, Chosen->Bytes);
    Chosen->End();
  }
}

void HeldBytes::set(ByteUse Use, std::size_t Bytes) {
  if (Id == 0 && Bytes < ByteBudget::MinCountedBytes)
    return;
  if (Id == 0)
    Id = Budget->add(End);
  Budget->set(Id, Use, Bytes);
}

void HeldBytes::clear() {
  if (Id != 0)
    Budget->remove(std::exchange(Id, 0));
}

bool HeldBytes::isEnding() const {
  auto Found = Budget->Holders.find(Id);
  return Found != Budget->Holders.end() && Found->second.Ending;
}

} // namespace samphirehill
