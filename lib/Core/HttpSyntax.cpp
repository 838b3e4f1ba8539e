#include "samphirehill/Core/HttpSyntax.h"

#include <algorithm>
#include <cctype>

namespace samphirehill {

bool isToken(std::string_view Name) {
  constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
  return !Name.empty() &&
         std::all_of(Name.begin(), Name.end(), [&](char Letter) {
           return std::isalnum(static_cast<unsigned char>(Letter)) != 0 ||
                  Marks.find(Letter) != std::string_view::npos;
         });
}

bool isFieldValue(std::string_view Value) {
  return std::none_of(Value.begin(), Value.end(), [](char Letter) {
    auto Code = static_cast<unsigned char>(Letter);
    return (Code < 0x20 && Code != '\t') || Code == 0x7f;
  });
}

} // namespace samphirehill
