#include "samphirehill/Ctl/InForce.h"

#include <utility>
#include <vector>

namespace samphirehill {
namespace {

using Json = nlohmann::json;

constexpr Duration PollPeriod = milliseconds(50);

struct Progress {
  std::string Address;
  std::string Name; // of the entry, or the address until it answers
  bool Done = false;
  std::int64_t AfterMs = 0;
  std::string Missing = "no answer in time";
};

// Takes an answer of one entry; returns whether it has the change in force.
bool take(Progress &Each, const JsonAnswer &Answer, Duration Elapsed,
          const std::function<bool(const Json &)> &InForce, const Say &Tell) {
  if (const Error *Failure = errorOf(Answer)) {
    Each.Missing = describe(*Failure);
    return false;
  }
  const Json &Status = std::get<0>(Answer);
  if (Status.contains("entry") && Status["entry"].is_string())
    Each.Name = Status["entry"].get<std::string>();
  Each.Missing = "answers, but has an older version";
  if (!InForce(Status))
    return false;
  Each.Done = true;
  Each.AfterMs = toMilliseconds(Elapsed);
  Tell("in force at " + Each.Name + " after " + std::to_string(Each.AfterMs) +
       " ms");
  return true;
}

} // namespace

bool textInForce(const Json &Status, const std::string &Operator,
                 std::uint64_t Version) {
  if (!Status.is_object() || !Status.contains("inForce"))
    return false;
  const Json &Texts = Status["inForce"];
  return Texts.is_object() && Texts.contains(Operator) &&
         Texts[Operator].is_number_unsigned() &&
         Texts[Operator].get<std::uint64_t>() >= Version;
}

SharedVersion versionIn(const Json &Status, const SharedKey &Key) {
  try {
    const Json &Found = Status.at("versions").at(Key.Kind + "/" + Key.Name);
    return {Found.at("counter").get<std::uint64_t>(),
            Found.at("origin").get<std::string>()};
  } catch (const Json::exception &) {
    return {};
  }
}

Report waitInForce(VentureClient &Venture, Duration Wait,
                   const std::function<bool(const Json &)> &InForce,
                   const Say &Tell) {
  std::vector<Progress> All;
  for (const std::string &Address : Venture.options().Entries)
    All.push_back({Address, Address});
  if (All.empty())
    Tell("no --entry is given: where it is in force was not checked");
  TimePoint Started = Venture.now();
  Venture.pollEntries(
      PollPeriod, Wait, [&](std::size_t Index, const JsonAnswer &Answer) {
        return take(All[Index], Answer, Venture.now() - Started, InForce, Tell);
      });
  Report Result;
  Result.Fields["entries"] = Json::array();
  std::string Names;
  for (const Progress &Each : All) {
    Json Row = {{"address", Each.Address},
                {"entry", Each.Name},
                {"inForce", Each.Done}};
    if (Each.Done) {
      Row["afterMs"] = Each.AfterMs;
    } else {
      Row["error"] = Each.Missing;
      Names += (Names.empty() ? "" : ", ") + Each.Name;
      Tell("not in force at " + Each.Name + ": " + Each.Missing);
    }
    Result.Fields["entries"].push_back(std::move(Row));
  }
  if (!Names.empty())
    Result.Failure =
        Error{ResultCode::Timeout, "not in force after " +
                                       std::to_string(toMilliseconds(Wait)) +
                                       " ms at " + Names};
  return Result;
}

} // namespace samphirehill
