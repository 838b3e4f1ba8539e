#include "samphirehill/Config/OperatorsText.h"

#include <algorithm>
#include <cctype>

namespace samphirehill {
namespace {

int hexValue(char Digit) {
  if (std::isdigit(static_cast<unsigned char>(Digit)) != 0)
    return Digit - '0';
  int Lower = std::tolower(static_cast<unsigned char>(Digit));
  return Lower >= 'a' && Lower <= 'f' ? Lower - 'a' + 10 : -1;
}

std::string decode(std::string_view Text) {
  std::string Decoded;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    bool IsEscape = Text[I] == '%' && I + 2 < Text.size() &&
                    hexValue(Text[I + 1]) >= 0 && hexValue(Text[I + 2]) >= 0;
    if (!IsEscape) {
      Decoded += Text[I];
      continue;
    }
    Decoded +=
        static_cast<char>(hexValue(Text[I + 1]) * 16 + hexValue(Text[I + 2]));
    I += 2;
  }
  return Decoded;
}

// Returns the segments of a path without empty, "." and ".." segments.
std::vector<std::string> segmentsOf(std::string_view Path) {
  std::vector<std::string> Segments;
  for (std::size_t Start = 0; Start <= Path.size();) {
    std::size_t End = std::min(Path.find('/', Start), Path.size());
    std::string Segment(Path.substr(Start, End - Start));
    Start = End + 1;
    if (Segment == ".." && !Segments.empty())
      Segments.pop_back();
    if (!Segment.empty() && Segment != "." && Segment != "..")
      Segments.push_back(std::move(Segment));
  }
  return Segments;
}

bool matchesPath(const std::vector<std::string> &Pattern,
                 const std::vector<std::string> &Path) {
  for (std::size_t I = 0; I < Pattern.size(); ++I) {
    if (Pattern[I] == "**" && I + 1 == Pattern.size())
      return true;
    if (I >= Path.size() || (Pattern[I] != "*" && Pattern[I] != Path[I]))
      return false;
  }
  return Pattern.size() == Path.size();
}

} // namespace

bool isNonRepeatable(const Service &Of, std::string_view Method,
                     std::string_view Target) {
  std::vector<std::string> Path =
      segmentsOf(decode(Target.substr(0, Target.find_first_of("?#"))));
  for (const PathRule &Rule : Of.NonRepeatable) {
    bool SameMethod = Rule.Method == "*" || Rule.Method == Method;
    if (SameMethod && matchesPath(segmentsOf(Rule.Pattern), Path))
      return true;
  }
  return false;
}

} // namespace samphirehill
