#include "samphirehill/Core/ResultCode.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace samphirehill {
namespace {

const std::filesystem::path Source = SAMPHIREHILL_SOURCE_DIR;

std::string read(const std::filesystem::path &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

// Returns the cells of each row of the tables in Page, without spaces around.
std::vector<std::vector<std::string>> tableRows(const std::string &Page) {
  std::vector<std::vector<std::string>> Rows;
  std::istringstream Lines(Page);
  for (std::string Line; std::getline(Lines, Line);) {
    if (!Line.starts_with("| "))
      continue;
    std::vector<std::string> Cells;
    std::istringstream Rest(Line.substr(1));
    for (std::string Cell; std::getline(Rest, Cell, '|');) {
      std::size_t First = Cell.find_first_not_of(' ');
      std::size_t Last = Cell.find_last_not_of(' ');
      Cells.push_back(First == std::string::npos
                          ? ""
                          : Cell.substr(First, Last - First + 1));
    }
    Rows.push_back(Cells);
  }
  return Rows;
}

std::set<int> codesOfHeader() {
  std::string Header = read(Source / "include/samphirehill/Core/ResultCode.h");
  std::regex Enumerator(R"(\n  [A-Z]\w+ = (\d+),)");
  std::set<int> Numbers;
  for (std::sregex_iterator Each(Header.begin(), Header.end(), Enumerator), End;
       Each != End; ++Each)
    Numbers.insert(std::stoi((*Each)[1]));
  return Numbers;
}

// Guards against a code without a row and a row without a code.
TEST(ResultCodesPageTest, ListsEveryCodeOfHeaderOnce) {
  std::set<int> Numbers = codesOfHeader();
  ASSERT_GT(Numbers.size(), 30u);
  std::multiset<int> Listed;
  for (const auto &Cells : tableRows(read(Source / "docs/result-codes.md")))
    if (Cells.front() != "number")
      Listed.insert(std::stoi(Cells.front()));
  EXPECT_EQ(Listed, std::multiset<int>(Numbers.begin(), Numbers.end()));
}

// Guards against a page that promises another run state or status than is sent.
TEST(ResultCodesPageTest, AgreesWithCodeInEveryRow) {
  for (const auto &Cells : tableRows(read(Source / "docs/result-codes.md"))) {
    if (Cells.front() == "number")
      continue;
    ASSERT_EQ(Cells.size(), 6u) << Cells.front();
    auto Code = static_cast<ResultCode>(std::stoi(Cells[0]));
    EXPECT_EQ(Cells[1], toString(Code));
    EXPECT_EQ(Cells[2], toString(runState(Code))) << Cells[1];
    EXPECT_EQ(Cells[3], std::to_string(httpStatus(Code))) << Cells[1];
    EXPECT_FALSE(Cells[4].empty()) << Cells[1];
    EXPECT_FALSE(Cells[5].empty()) << Cells[1];
  }
}

// Guards against an enumerator that toString doesn't know.
TEST(ResultCodesPageTest, NamesEveryCodeOfHeader) {
  for (int Number : codesOfHeader())
    EXPECT_NE(toString(static_cast<ResultCode>(Number)), "unknown") << Number;
}

// Guards against headers that were moved or renamed after the page was written.
TEST(GlossaryPageTest, NamesHeadersThatExist) {
  std::size_t Rows = 0;
  for (const auto &Cells : tableRows(read(Source / "docs/glossary.md"))) {
    if (Cells.size() != 3 || !Cells[2].starts_with('`'))
      continue;
    ++Rows;
    std::string Header = Cells[2].substr(1, Cells[2].rfind('`') - 1);
    EXPECT_TRUE(
        std::filesystem::exists(Source / "include/samphirehill" / Header))
        << Header;
  }
  EXPECT_GT(Rows, 30u);
}

} // namespace
} // namespace samphirehill
