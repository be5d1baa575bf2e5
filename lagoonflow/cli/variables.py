"""Reads flags of lagoonflowctl from environment variables."""

from collections.abc import Mapping

import cyclopts

from lagoonflow.cli.environment import ENVIRONMENT_PREFIX


class VariableSource:
    """Sets absent flags from environment variables, as cyclopts config."""

    def __init__(self, variables: Mapping[str, str]) -> None:
        self._variables = variables

    def __call__(
        self,
        app: cyclopts.App,
        commands: tuple[str, ...],
        arguments: cyclopts.ArgumentCollection,
    ) -> None:
        """Append a token from its variable to each flag that has none.

        cyclopts calls this after it has parsed the command line.
        """
        for argument in arguments:
            if argument.tokens or not argument.name.startswith('--'):
                continue
            flag = argument.name.removeprefix('--')
            name = ENVIRONMENT_PREFIX + flag.upper().replace('-', '_')
            text = self._variables.get(name)
            if text:
                argument.append(
                    cyclopts.Token(keyword=name, value=text, source='env'),
                )
