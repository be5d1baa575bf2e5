"""Implements ``lagoonflowctl explain``."""

from lagoonflow.cli.environment import Environment
from lagoonflow.cli.exit_status import ExitStatus
from lagoonflow.results import Result
from lagoonflow.results_text import get_explanation, results_table

NO_SUCH_CODE = 'Unknown result code {code!r}.'
CODE_HINT = 'List all codes with: lagoonflowctl explain'


def explain(code: str, environment: Environment) -> ExitStatus:
    """Print the explanation of a code, or the table of all codes.

    :param code: number or name; empty for the table.
    """
    if not code:
        environment.print(results_table().rstrip())
        return ExitStatus.SUCCESS
    result = _find_result(code)
    if result is None:
        environment.print_to_stderr(NO_SUCH_CODE.format(code=code))
        environment.print_to_stderr(CODE_HINT)
        return ExitStatus.USAGE
    explanation = get_explanation(result)
    environment.print(f'{result.value} {result.name}')
    environment.print(f'Meaning: {explanation.meaning}')
    environment.print(f'What to do: {explanation.remedy}')
    return ExitStatus.SUCCESS


def _find_result(code: str) -> Result | None:
    name = code.strip().upper().replace('-', '_')
    for result in Result:
        if name in {result.name, str(result.value)}:
            return result
    return None
